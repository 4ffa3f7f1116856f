//! Running estimates: means, rates, levels and token buckets. No decisions.

use crate::interface::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Samples in a kind's or class's mean: its error is then about a tenth of the spread.
pub(crate) const KIND_SAMPLES: f64 = 100.0;

/// A proxy's random numbers, the same on every machine for the same seed.
pub(crate) struct Rng(Pcg32);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// Uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// One of the items, with a probability proportional to its weight.
    pub fn pick<T: Copy>(&mut self, weighted: &[(T, f64)]) -> Option<T> {
        let mut remaining = self.unit() * weighted.iter().map(|w| w.1).sum::<f64>();
        let mut hit = |w: &&(T, f64)| {
            remaining -= w.1;
            remaining < 0.0
        };
        weighted.iter().find(&mut hit).or(weighted.last()).map(|w| w.0)
    }
}

/// A mean over about the last `cap` samples: exact for the first ones, then exponential.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub value: f64,
    pub count: f64,
}

impl Mean {
    pub fn add(&mut self, sample: f64, cap: f64) {
        self.count = (self.count + 1.0).min(cap);
        self.value += (sample - self.value) / self.count;
    }

    pub fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// Events per second with an exponential memory, [`RATE_MEMORY`] by default; unbiased from the start on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    memory: f64,
    events: f64,
    seen: f64,
    at: Option<Time>,
}

/// Memory of a rate in seconds: some hundred arrivals, yet short compared with a slow start or a failure.
pub(crate) const RATE_MEMORY: f64 = 2.0;

impl Default for Rate {
    fn default() -> Rate {
        Rate::over(RATE_MEMORY)
    }
}

impl Rate {
    /// A rate with another memory, in seconds.
    pub fn over(memory: f64) -> Rate {
        Rate { memory, events: 0.0, seen: 0.0, at: None }
    }

    /// Counts `events` at `now`; 0 only advances the time.
    pub fn add(&mut self, now: Time, events: f64) {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        let decay = (-gap / self.memory).exp();
        self.events = self.events * decay + events;
        self.seen = self.seen * decay + (1.0 - decay) * self.memory;
        self.at = Some(now);
    }

    /// `None` until a twentieth of the memory has passed.
    pub fn per_s(&self) -> Option<f64> {
        (self.seen > self.memory / 20.0).then(|| self.events / self.seen)
    }
}

/// Memory of a level in seconds: a backend is overloaded by its mean over some seconds, and this acts before
/// that.
const LEVEL_MEMORY: f64 = 1.0;

/// The mean of a level over about the last second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Level {
    pub mean: f64,
    at: Option<Time>,
}

impl Level {
    /// Updates the mean: the level has been `level` since the last call.
    pub fn at(&mut self, now: Time, level: f64) -> f64 {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        self.mean += (level - self.mean) * (1.0 - (-gap / LEVEL_MEMORY).exp());
        self.at = Some(now);
        self.mean
    }
}

/// A token bucket: full at first, with the capacity of [`RATE_MEMORY`] at its rate.
#[derive(Default)]
pub(crate) struct Bucket {
    tokens: f64,
    at: Option<Time>,
}

impl Bucket {
    /// An empty bucket.
    pub fn empty(now: Time) -> Bucket {
        Bucket { tokens: 0.0, at: Some(now) }
    }

    /// Takes a token if there is one; `rate` tokens per second are added.
    pub fn take(&mut self, now: Time, rate: f64) -> bool {
        let gap = self.at.map_or(f64::MAX, |at| (now - at).secs());
        self.tokens = (self.tokens + rate * gap).min((rate * RATE_MEMORY).max(1.0));
        self.at = Some(now);
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(within);
        within
    }
}

/// Memory of a relative latency in seconds: some answers of one proxy among many, yet short compared with a
/// fault.
const RELATIVE_MEMORY: f64 = 8.0;

/// A backend's latency relative to the expected one: an exponentially decaying mean of logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RelativeLatency {
    sum: f64,
    count: f64,
    at: Option<Time>,
}

impl RelativeLatency {
    fn decay(&mut self, now: Time) {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        let decay = (-gap / RELATIVE_MEMORY).exp();
        (self.sum, self.count, self.at) = (self.sum * decay, self.count * decay, Some(now));
    }

    /// Records one answer by the logarithm of its relative latency.
    pub fn add(&mut self, now: Time, logarithm: f64) {
        self.decay(now);
        (self.sum, self.count) = (self.sum + logarithm, self.count + 1.0);
    }

    /// The mean, with `prior` additional answers of the expected latency.
    pub fn at(&mut self, now: Time, prior: f64) -> f64 {
        self.decay(now);
        self.sum / (self.count + prior)
    }
}
