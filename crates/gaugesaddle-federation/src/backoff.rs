//! When a region that refused, or could not be reached, is asked again: not by all proxies at one moment.

use gaugesaddle_balancer::{Micros, Time};

/// First pause after a link failed; it doubles with each failure in a row, up to the longest.
const FIRST: Micros = Micros(250_000);
const LONGEST: Micros = Micros(8_000_000);
/// A pause that a region asks for is held to this.
const TOLD_MOST: Micros = Micros(30_000_000);

/// The pause of one region.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    until: Time,
    failures: u32,
    /// When the last failure was seen.
    noted: Time,
}

impl Backoff {
    /// It may be asked.
    pub fn open(&self, now: Time) -> bool {
        now >= self.until
    }

    /// Until when it is left alone.
    pub fn until(&self) -> Time {
        self.until
    }

    /// It refused and said when to come back; `unit`: an even draw from 0 to 1.
    pub fn refused(&mut self, now: Time, after: Micros, unit: f64) {
        let after = Micros(after.0.min(TOLD_MOST.0));
        self.pause(now, after.times(1.0 + unit.clamp(0.0, 1.0)));
    }

    /// The link failed under what was sent at `sent`: no connection, or it broke or went silent. All that was out when
    /// a failure was seen is of the same failure: counted one by one, a hundred at once would mean the longest pause.
    pub fn failed(&mut self, now: Time, sent: Time, unit: f64) {
        if self.failures > 0 && sent <= self.noted {
            return;
        }
        self.noted = now;
        let pause = Micros(FIRST.0 << self.failures.min(5)).min(LONGEST);
        self.failures = self.failures.saturating_add(1);
        self.pause(now, pause.times(0.5 + unit.clamp(0.0, 1.0)));
    }

    /// It answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    fn pause(&mut self, now: Time, span: Micros) {
        self.until = self.until.max(now + span);
    }
}

#[cfg(test)]
mod tests;
