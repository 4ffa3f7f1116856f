//! When a region that rejected a request, or could not be reached, is sent requests again; the return is spread over time, so that not all
//! proxies send at one moment.

use gaugesaddle_balancer::{Micros, Time};

/// Backoff after the first failure of a link; it doubles with each consecutive failure.
const INITIAL_BACKOFF: Micros = Micros(250_000);
/// Limit of that backoff, before the random spread.
const MAX_BACKOFF: Micros = Micros(8_000_000);
/// Highest exponent of the doubled backoff: 250 ms times 2^5 is [`MAX_BACKOFF`].
const MAX_BACKOFF_EXPONENT: u32 = 5;
/// Limit of a backoff that the region requests, before the random spread.
const MAX_RETRY_AFTER: Micros = Micros(30_000_000);

/// The backoff for one region.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    until: Time,
    consecutive_failures: u32,
    last_failure: Time,
}

impl Backoff {
    /// Whether a request may be sent.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// End of the backoff.
    pub fn until(&self) -> Time {
        self.until
    }

    /// The region rejected a request and requested a delay. `random` is uniform in 0 to 1; it lengthens the delay by up to
    /// twice and never shortens it.
    pub fn record_rejection(&mut self, now: Time, retry_after: Micros, random: f64) {
        let retry_after = Micros(retry_after.0.min(MAX_RETRY_AFTER.0));
        self.extend(now, retry_after.times(1.0 + random.clamp(0.0, 1.0)));
    }

    /// The link failed under a request that was sent at `sent_at`: it could not connect, broke, or timed out. All requests
    /// that were in flight when a failure was recorded belong to that failure: counted one by one, a hundred at once would
    /// mean the longest backoff. `random` is uniform in 0 to 1.
    pub fn record_failure(&mut self, now: Time, sent_at: Time, random: f64) {
        if self.consecutive_failures > 0 && sent_at <= self.last_failure {
            return;
        }
        self.last_failure = now;
        let exponent = self.consecutive_failures.min(MAX_BACKOFF_EXPONENT);
        let backoff = Micros(INITIAL_BACKOFF.0 << exponent).min(MAX_BACKOFF);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.extend(now, backoff.times(0.5 + random.clamp(0.0, 1.0)));
    }

    /// The region answered.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    fn extend(&mut self, now: Time, duration: Micros) {
        self.until = self.until.max(now + duration);
    }
}

#[cfg(test)]
mod tests;
