//! Time for the module: Unix microseconds, which backends' start times share.

use gaugesaddle_balancer::{Micros, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The system's clock is read once and carried on by the monotonic one, so that a correction of the former
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

    /// The instant of a time; of one more than an hour ahead, an hour from now.
    pub fn instant(&self, at: Time) -> Instant {
        const HOUR: u64 = 3_600_000_000;
        let since = at.0.min(self.now().0 + HOUR) - self.start_unix_us.min(at.0);
        self.start + Duration::from_micros(since)
    }
}

/// A span for the runtime's timers.
pub fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
