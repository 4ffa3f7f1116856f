//! The balancer's clock: Unix time in microseconds, like the start times of backends.

use gaugesaddle_balancer::{Micros, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Reads the system clock once and advances that time by the monotonic clock, so that a correction of the system clock
/// moves no deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix_us: u64,
}

impl Clock {
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_unix_us: unix.as_micros() as u64 }
    }

    pub fn now(&self) -> Time {
        Time(self.start_unix_us) + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time to an instant. A time more than an hour ahead becomes an hour from now.
    pub fn instant(&self, at: Time) -> Instant {
        const HOUR: u64 = 3_600_000_000;
        let since = at.0.min(self.now().0 + HOUR) - self.start_unix_us.min(at.0);
        self.start + Duration::from_micros(since)
    }
}

/// Converts a span to a [`Duration`] for the runtime's timers.
pub fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
