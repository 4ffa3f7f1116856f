//! The steady clock of a process, in milliseconds since its start.

use std::time::Duration;
use tokio::time::Instant;

/// Counts from the start of the process, so that a time just before it is still above zero.
const BEGIN: u64 = 1_000_000;

/// A steady clock.
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
    /// Milliseconds on the steady clock.
    pub fn now(&self) -> u64 {
        BEGIN + self.start.elapsed().as_millis() as u64
    }

    /// The instant of a time told by [`Clock::now`].
    pub fn instant(&self, at: u64) -> Instant {
        self.start + Duration::from_millis(at.saturating_sub(BEGIN))
    }
}
