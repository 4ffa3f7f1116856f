//! The time that a hop takes on the way, and what is left for it.

use gaugesaddle_balancer::{Micros, Time};
use std::collections::VecDeque;

/// Samples that are kept: the greatest of so many recent ones is about their 97th percentile.
const SAMPLES: usize = 32;
/// A sample counts for so long: with a way over all that requests have left, none is sent that could measure it anew.
const MEMORY: Micros = Micros(3_000_000);

/// A high quantile of a link's recent round trips. It follows a rise with the first sample.
#[derive(Clone, Debug)]
pub struct RoundTrip {
    samples: VecDeque<(Time, Micros)>,
    first: Micros,
}

impl RoundTrip {
    /// `first`: what it is taken as until something was measured.
    pub fn new(first: Micros) -> RoundTrip {
        RoundTrip { samples: VecDeque::with_capacity(SAMPLES), first }
    }

    /// A round trip was measured, or a hop took at least so long without an answer.
    pub fn add(&mut self, now: Time, took: Micros) {
        if self.samples.len() == SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, took));
    }

    /// The time on the way, there and back.
    pub fn get(&self, now: Time) -> Micros {
        let recent = self.samples.iter().filter(|s| now - s.0 < MEMORY).map(|s| s.1);
        recent.max().unwrap_or(self.first)
    }
}

/// What a hop may tell the other side as the time left: strictly less than what is left here, by the round trip and
/// a margin, in whole milliseconds. `None`: it could not be answered in time and is not sent at all.
pub fn onward(left: Micros, trip: Micros, margin: Micros) -> Option<Micros> {
    let rest = left.0.checked_sub(trip.0.saturating_add(margin.0))?;
    // Told in whole milliseconds, rounded down; at least one goes on the way, whatever was measured.
    let told = (rest / 1000).min((left.0 / 1000).saturating_sub(1));
    (told > 0).then_some(Micros(told * 1000))
}

#[cfg(test)]
mod tests;
