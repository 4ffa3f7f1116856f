//! The rate that is admitted during a storm: it falls while requests fail, and rises while it is used and they succeed. Nothing is
//! known of the fleet beforehand, since a restarted proxy remembers nothing.

/// Fraction of failed requests above which the rate is decreased.
const MAX_FAILED_FRACTION: f64 = 0.1;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Factor of an increase, where the rate was used.
const INCREASE_FACTOR: f64 = 1.08;
/// Fraction of the rate that must have been admitted for an increase: an unused rate proves nothing.
const MIN_USED_FRACTION: f64 = 0.7;
/// Fewer outcomes than these are not evaluated.
const MIN_SAMPLES: u32 = 4;
/// The lowest rate, in requests a second: recovery must be noticed.
pub(crate) const MIN_RATE_PER_S: f64 = 2.0;

/// The rate that this proxy admits. Unlimited until requests fail: while all that is admitted succeeds, the balancer's queue
/// serves by priority weight what a limit at the entry would refuse by chance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimiter {
    per_s: Option<f64>,
}

impl RateLimiter {
    /// The limit in requests a second, where there is one.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Takes in what was admitted over the last `seconds`, and how requests ended meanwhile.
    pub fn observe(&mut self, seconds: f64, admitted: u32, succeeded: u32, failed: u32) {
        let ended = succeeded + failed;
        if ended < MIN_SAMPLES || seconds <= 0.0 {
            return;
        }
        let admitted_per_s = f64::from(admitted) / seconds;
        let succeeded_per_s = f64::from(succeeded) / seconds;
        if f64::from(failed) > MAX_FAILED_FRACTION * f64::from(ended) {
            // Not below what succeeds: that much the fleet sustains.
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
