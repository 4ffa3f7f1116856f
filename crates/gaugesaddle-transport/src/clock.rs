//! The monotonic clock of a process.

use std::time::Duration;
use tokio::time::Instant;

/// Time at the start of the process, in milliseconds: well above zero, so that subtracting a duration does not reach it.
const START_MS: u64 = 1_000_000;

/// A monotonic clock in milliseconds. Its times cannot be compared with those of other processes.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock { start: Instant::now() }
    }
}

impl Clock {
    /// The current time in milliseconds.
    pub fn now(&self) -> u64 {
        START_MS + self.start.elapsed().as_millis() as u64
    }

    /// The instant of a time of [`Clock::now`]; the start for earlier times.
    pub fn instant(&self, time_ms: u64) -> Instant {
        self.start + Duration::from_millis(time_ms.saturating_sub(START_MS))
    }
}
