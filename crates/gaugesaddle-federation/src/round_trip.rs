//! The round-trip time of a link, and the time that remains for a request on the other side.

use gaugesaddle_balancer::{Micros, Time};
use std::collections::VecDeque;

/// Maximum number of samples: the maximum of that many recent ones is about their 97th percentile.
const MAX_SAMPLES: usize = 32;
/// How long a sample counts. Without an end, one round trip above all deadlines would prevent every request that could
/// measure it anew.
const SAMPLE_LIFETIME: Micros = Micros(3_000_000);

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    round_trip: Micros,
}

/// A high quantile of a link's recent round-trip times. It follows a rise with the first sample.
#[derive(Clone, Debug)]
pub struct RoundTripEstimator {
    /// The oldest first.
    samples: VecDeque<Sample>,
    initial: Micros,
}

impl RoundTripEstimator {
    /// `initial` is the estimate while there are no recent samples.
    pub fn new(initial: Micros) -> RoundTripEstimator {
        RoundTripEstimator { samples: VecDeque::with_capacity(MAX_SAMPLES), initial }
    }

    /// Records a measured round-trip time.
    pub fn record(&mut self, now: Time, round_trip: Micros) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at: now, round_trip });
    }

    /// The present estimate.
    pub fn estimate(&self, now: Time) -> Micros {
        let recent = self.samples.iter().filter(|sample| now - sample.at < SAMPLE_LIFETIME);
        recent.map(|sample| sample.round_trip).max().unwrap_or(self.initial)
    }
}

/// The time that a hop may report to the other side as remaining: less than `remaining` by the round trip and a margin, in
/// full milliseconds, as the header carries it. `None` where no answer could come in time; the request is not sent then.
pub fn remaining_after_hop(remaining: Micros, round_trip: Micros, margin: Micros) -> Option<Micros> {
    let rest = remaining.0.checked_sub(round_trip.0.saturating_add(margin.0))?;
    // Rounded down, and one millisecond less at least, whatever was measured: the deadline shrinks at each hop.
    let reported_ms = (rest / 1000).min((remaining.0 / 1000).saturating_sub(1));
    (reported_ms > 0).then_some(Micros(reported_ms * 1000))
}

#[cfg(test)]
mod tests;
