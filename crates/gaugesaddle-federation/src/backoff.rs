//! Backoff after a region rejected a request or could not be reached. It is jittered, so that the proxies do not resume
//! simultaneously.

use gaugesaddle_balancer::{Micros, Time};

/// Backoff after the first failure of a link; it doubles with each consecutive failure.
const INITIAL_BACKOFF: Micros = Micros(250_000);
/// Maximum backoff after failures, before jitter.
const MAX_BACKOFF: Micros = Micros(8_000_000);
/// Maximum exponent of the exponential backoff: 250 ms times 2^5 is [`MAX_BACKOFF`].
const MAX_BACKOFF_EXPONENT: u32 = 5;
/// Maximum delay that a region may request, before jitter.
const MAX_RETRY_AFTER: Micros = Micros(30_000_000);

/// Backoff state of the link to one region.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    until: Time,
    consecutive_failures: u32,
    last_failure: Time,
}

impl Backoff {
    /// Whether the backoff has ended, so that a request may be sent.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// End of the backoff.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Records that the region rejected a request and requested the delay `retry_after`. `random` is uniform in 0 to 1 and
    /// lengthens the delay to at most twice its value; the delay is never shortened.
    pub fn record_rejection(&mut self, now: Time, retry_after: Micros, random: f64) {
        let retry_after = Micros(retry_after.0.min(MAX_RETRY_AFTER.0));
        self.extend(now, retry_after.times(1.0 + random.clamp(0.0, 1.0)));
    }

    /// Records that the link failed while a request sent at `sent_at` was in flight: the connection could not be
    /// established, was reset, or timed out. Failures of requests that were in flight when a previous failure was recorded
    /// count as that failure: counted individually, a hundred simultaneous failures would cause the maximum backoff.
    /// `random` is uniform in 0 to 1.
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

    /// Records that the region answered.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    fn extend(&mut self, now: Time, duration: Micros) {
        self.until = self.until.max(now + duration);
    }
}

#[cfg(test)]
mod tests;
