//! The round-trip time of a link, and the time that remains for a request at the other side.

use gaugesaddle_balancer::{Micros, Time};
use std::collections::VecDeque;

/// Maximum number of samples: the maximum of 32 recent samples approximates the 97th percentile.
const MAX_SAMPLES: usize = 32;
/// Lifetime of a sample. Without expiry, a single round trip longer than all deadlines would prevent every request that
/// could provide a new sample.
const SAMPLE_LIFETIME: Micros = Micros(3_000_000);

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    round_trip: Micros,
}

/// Estimates a high quantile of a link's recent round-trip times. An increase takes effect with the first sample.
#[derive(Clone, Debug)]
pub struct RoundTripEstimator {
    /// In the order of their times, oldest first.
    samples: VecDeque<Sample>,
    initial: Micros,
}

impl RoundTripEstimator {
    /// An estimator that returns `initial` while there are no recent samples.
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

    /// The estimate at `now`.
    pub fn estimate(&self, now: Time) -> Micros {
        let recent = self.samples.iter().filter(|sample| now - sample.at < SAMPLE_LIFETIME);
        recent.map(|sample| sample.round_trip).max().unwrap_or(self.initial)
    }
}

/// The remaining time that a hop reports to the other side: `remaining` less the round trip and a margin, in whole
/// milliseconds, the unit of the header. `None` if no answer could be received before the deadline; the request is then not
/// sent.
pub fn remaining_after_hop(remaining: Micros, round_trip: Micros, margin: Micros) -> Option<Micros> {
    let rest = remaining.0.checked_sub(round_trip.0.saturating_add(margin.0))?;
    // Rounded down, and reduced by at least one millisecond for any measured round trip: the deadline strictly decreases
    // at each hop.
    let reported_ms = (rest / 1000).min((remaining.0 / 1000).saturating_sub(1));
    (reported_ms > 0).then_some(Micros(reported_ms * 1000))
}

#[cfg(test)]
mod tests;
