//! The rate that is admitted during a storm: it decreases while requests fail, and increases while it is used and requests
//! succeed. It needs no prior knowledge of the fleet's capacity, which a restarted proxy does not have.

/// Fraction of failed requests above which the rate is decreased.
const MAX_FAILED_FRACTION: f64 = 0.1;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Factor of an increase, where the rate was used.
const INCREASE_FACTOR: f64 = 1.08;
/// Fraction of the rate that must have been admitted for an increase: success at a lower rate does not justify a higher one.
const MIN_USED_FRACTION: f64 = 0.7;
/// Observations with fewer outcomes are not evaluated.
const MIN_SAMPLES: u32 = 4;
/// The lowest rate, in requests per second: some requests must be admitted for a recovery to be noticed.
pub(crate) const MIN_RATE_PER_S: f64 = 2.0;

/// The rate that this proxy admits. It is unlimited until requests fail: while all admitted requests succeed, the balancer's
/// queue serves them by priority weight, whereas a limit at the entry would refuse some of them at random.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimiter {
    per_s: Option<f64>,
}

impl RateLimiter {
    /// The limit in requests per second, if there is one.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Records the number of requests that were admitted, succeeded and failed in the last `seconds`.
    pub fn observe(&mut self, seconds: f64, admitted: u32, succeeded: u32, failed: u32) {
        let ended = succeeded + failed;
        if ended < MIN_SAMPLES || seconds <= 0.0 {
            return;
        }
        let admitted_per_s = f64::from(admitted) / seconds;
        let succeeded_per_s = f64::from(succeeded) / seconds;
        if f64::from(failed) > MAX_FAILED_FRACTION * f64::from(ended) {
            // Not below the same fraction of the rate of successes, which the fleet sustains.
            let rate = self.per_s.unwrap_or(admitted_per_s);
            let decreased = (rate * DECREASE_FACTOR).max(succeeded_per_s * DECREASE_FACTOR);
            self.per_s = Some(decreased.max(MIN_RATE_PER_S));
        } else if let Some(rate) = self.per_s.filter(|rate| admitted_per_s >= MIN_USED_FRACTION * rate) {
            self.per_s = Some(rate * INCREASE_FACTOR);
        }
    }
}

#[cfg(test)]
mod tests;
