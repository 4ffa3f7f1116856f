//! Backends reserved for long prompts.
//!
//! While an engine computes a long prompt, all other requests on that backend wait: both the time to first token and the
//! time between tokens increase. A fraction of the backends, proportional to the long prompts' fraction of the work, is
//! therefore reserved for them. All proxies reserve the same backends: those with the highest ranks for a fixed key.

use crate::{affinity, Prompt, Rate, OVERHEAD_TOKENS};

/// A prompt is long if its own tokens exceed this multiple of the mean.
const LONG_PROMPT_FACTOR: f64 = 10.0;
/// Minimum weight of one prompt in the smoothed statistics.
const MIN_SAMPLE_WEIGHT: f64 = 0.0005;
/// Long prompts' fraction of the work that is assumed before any prompt is observed.
const PRIOR_LONG_FRACTION: f64 = 0.15;
/// Number of prompts that [`PRIOR_LONG_FRACTION`] counts as.
const PRIOR_LONG_SAMPLES: u32 = 400;
/// Mean length of a prompt that is assumed before any prompt is observed, in tokens.
const PRIOR_MEAN_TOKENS: f64 = 2000.0;
/// Number of prompts that [`PRIOR_MEAN_TOKENS`] counts as. It is small because in a large fleet one proxy observes few
/// prompts.
const PRIOR_MEAN_SAMPLES: u32 = 30;
/// The reserved fraction is updated only if it differs from the long prompts' fraction by more than this multiple of itself.
const RESERVATION_HYSTERESIS: f64 = 0.8;
/// Backends reserved per backend that the long prompts occupy on average: their work varies more than that of others.
const RESERVATION_HEADROOM: f64 = 1.4;
/// Minimum number of backends for a reservation.
const MIN_BACKENDS: usize = 4;
/// Time constant of the smoothed arrival rate, in milliseconds.
const RATE_SMOOTHING_MS: f64 = 5000.0;
/// The key for which backends are ranked for the reservation: "long" in ASCII.
const RESERVATION_KEY: u64 = 0x6c6f_6e67;

/// Statistics of the prompts of one service.
#[derive(Clone, Copy, Debug)]
pub struct PromptSizes {
    samples: u32,
    mean_tokens: f64,
    /// Long prompts' fraction of the work.
    long_fraction: f64,
    /// The fraction from which the number of reserved backends is computed; follows `long_fraction` with hysteresis.
    reserved_fraction: f64,
    arrivals: Rate,
}

impl Default for PromptSizes {
    fn default() -> PromptSizes {
        PromptSizes {
            samples: 0,
            mean_tokens: PRIOR_MEAN_TOKENS,
            long_fraction: PRIOR_LONG_FRACTION,
            reserved_fraction: PRIOR_LONG_FRACTION,
            arrivals: Rate::default(),
        }
    }
}

impl PromptSizes {
    /// Records a prompt that arrived at `now` (milliseconds), by the tokens that it does not share.
    pub fn record(&mut self, now: u64, prompt: Prompt) {
        self.arrivals.record(now, RATE_SMOOTHING_MS);
        if prompt.total_tokens == 0 {
            return;
        }
        let tokens = prompt.own_tokens() as f64;
        self.samples = self.samples.saturating_add(1);
        self.mean_tokens += self.sample_weight(PRIOR_MEAN_SAMPLES) * (tokens - self.mean_tokens);
        // A prompt is weighted by its work, which is proportional to its tokens.
        let relative_size = tokens / self.mean_tokens.max(1.0);
        let weight = (self.sample_weight(PRIOR_LONG_SAMPLES) * relative_size).min(1.0);
        let is_long = if self.is_long(prompt) { 1.0 } else { 0.0 };
        self.long_fraction += weight * (is_long - self.long_fraction);
        let deviation = (self.long_fraction - self.reserved_fraction).abs();
        if deviation > RESERVATION_HYSTERESIS * self.reserved_fraction {
            self.reserved_fraction = self.long_fraction;
        }
    }

    /// Weight of the newest sample if the prior counts as `prior_samples` samples.
    fn sample_weight(&self, prior_samples: u32) -> f64 {
        MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples.saturating_add(prior_samples)))
    }

    /// Work, in tokens, that arrives at each of `backends` backends within `time_ms` if each of `proxies` proxies has the
    /// arrival rate of this one; at least the work of one request.
    pub fn inflow_tokens(&self, now: u64, time_ms: f64, proxies: usize, backends: usize) -> f64 {
        let mean_tokens = if self.samples == 0 { 0.0 } else { self.mean_tokens };
        let rate_per_s = self.arrivals.at(now, RATE_SMOOTHING_MS) * proxies.max(1) as f64;
        let requests = rate_per_s * time_ms / 1000.0 / backends.max(1) as f64;
        (OVERHEAD_TOKENS + mean_tokens) * requests.max(1.0)
    }

    /// Whether a prompt is long.
    pub fn is_long(&self, prompt: Prompt) -> bool {
        prompt.own_tokens() as f64 > LONG_PROMPT_FACTOR * self.mean_tokens
    }

    /// Number of backends, out of `backends`, that are reserved for long prompts.
    pub fn reserved_count(&self, backends: usize) -> usize {
        if self.samples == 0 || backends < MIN_BACKENDS {
            return 0;
        }
        let wanted = backends as f64 * self.reserved_fraction * RESERVATION_HEADROOM;
        (wanted.round() as usize).clamp(1, backends / 2)
    }

    /// For each backend, given by the hash of its ID, whether it is reserved for long prompts.
    pub fn reserved_backends(&self, backends: &[u64]) -> Vec<bool> {
        match self.reserved_count(backends.len()) {
            0 => vec![false; backends.len()],
            count => affinity::is_among_highest(RESERVATION_KEY, backends, count),
        }
    }
}
