//! Running estimates: means, rates, time-weighted means and token buckets.

use crate::interface::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Maximum samples in the mean of a kind or class: its standard error is then a tenth of the standard deviation.
pub(crate) const KIND_SAMPLES: f64 = 100.0;

/// A proxy's random number generator: the same seed gives the same numbers on every machine.
pub(crate) struct Rng(Pcg32);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(Pcg32::seed_from_u64(seed))
    }

    /// Uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// Picks an item with a probability proportional to its weight.
    pub fn pick<T: Copy>(&mut self, weighted: &[(T, f64)]) -> Option<T> {
        let mut remaining = self.unit() * weighted.iter().map(|w| w.1).sum::<f64>();
        let mut hit = |w: &&(T, f64)| {
            remaining -= w.1;
            remaining < 0.0
        };
        weighted.iter().find(&mut hit).or(weighted.last()).map(|w| w.0)
    }
}

/// A mean over about the last `max_samples` samples: arithmetic up to that number, then an exponential moving
/// average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub value: f64,
    pub count: f64,
}

impl Mean {
    pub fn add(&mut self, sample: f64, max_samples: f64) {
        self.count = (self.count + 1.0).min(max_samples);
        self.value += (sample - self.value) / self.count;
    }

    pub fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// Events per second, exponentially weighted with a time constant, [`RATE_TIME_CONSTANT_S`] by default. Unbiased from
/// the first event on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    time_constant_s: f64,
    events: f64,
    observed_s: f64,
    at: Option<Time>,
}

/// Default time constant of a rate: a few hundred arrivals, yet short compared with a slow start or a failure.
pub(crate) const RATE_TIME_CONSTANT_S: f64 = 2.0;

impl Default for Rate {
    fn default() -> Rate {
        Rate::with_time_constant(RATE_TIME_CONSTANT_S)
    }
}

impl Rate {
    /// A rate with the given time constant in seconds.
    pub fn with_time_constant(time_constant_s: f64) -> Rate {
        Rate { time_constant_s, events: 0.0, observed_s: 0.0, at: None }
    }

    /// Records `events` at `now`; 0 only advances the time.
    pub fn add(&mut self, now: Time, events: f64) {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        let decay = (-gap / self.time_constant_s).exp();
        self.events = self.events * decay + events;
        self.observed_s = self.observed_s * decay + (1.0 - decay) * self.time_constant_s;
        self.at = Some(now);
    }

    /// The rate; `None` until a twentieth of the time constant has passed.
    pub fn per_s(&self) -> Option<f64> {
        (self.observed_s > self.time_constant_s / 20.0).then(|| self.events / self.observed_s)
    }
}

/// Time constant of a time-weighted mean. A backend becomes overloaded by its mean load over several seconds; a
/// shorter time constant limits the load before that.
const LEVEL_TIME_CONSTANT_S: f64 = 1.0;

/// The mean of a quantity over about the last second, weighted by time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeWeightedMean {
    pub mean: f64,
    at: Option<Time>,
}

impl TimeWeightedMean {
    /// Updates the mean: the quantity has had the value `level` since the last call.
    pub fn update(&mut self, now: Time, level: f64) -> f64 {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        self.mean += (level - self.mean) * (1.0 - (-gap / LEVEL_TIME_CONSTANT_S).exp());
        self.at = Some(now);
        self.mean
    }
}

/// A token bucket: initially full, with a capacity of [`RATE_TIME_CONSTANT_S`] at its rate.
#[derive(Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    at: Option<Time>,
}

impl TokenBucket {
    /// An empty bucket.
    pub fn empty(now: Time) -> TokenBucket {
        TokenBucket { tokens: 0.0, at: Some(now) }
    }

    /// Takes a token if one is available; the bucket is refilled at `rate` tokens per second.
    pub fn take(&mut self, now: Time, rate: f64) -> bool {
        let gap = self.at.map_or(f64::MAX, |at| (now - at).secs());
        self.tokens = (self.tokens + rate * gap).min((rate * RATE_TIME_CONSTANT_S).max(1.0));
        self.at = Some(now);
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(within);
        within
    }
}

/// Time constant of a relative latency: several answers even for one of many proxies, yet short compared with a
/// fault.
const RELATIVE_TIME_CONSTANT_S: f64 = 8.0;

/// A backend's latency relative to the expected latency: an exponentially decaying mean of logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RelativeLatency {
    sum: f64,
    count: f64,
    at: Option<Time>,
}

impl RelativeLatency {
    fn decay(&mut self, now: Time) {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        let decay = (-gap / RELATIVE_TIME_CONSTANT_S).exp();
        (self.sum, self.count, self.at) = (self.sum * decay, self.count * decay, Some(now));
    }

    /// Records one answer by the logarithm of its relative latency.
    pub fn add(&mut self, now: Time, logarithm: f64) {
        self.decay(now);
        (self.sum, self.count) = (self.sum + logarithm, self.count + 1.0);
    }

    /// The mean, shrunk towards 0 by `prior` additional answers of the expected latency.
    pub fn mean(&mut self, now: Time, prior: f64) -> f64 {
        self.decay(now);
        self.sum / (self.count + prior)
    }
}
