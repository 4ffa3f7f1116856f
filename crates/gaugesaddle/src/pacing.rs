//! When to call discovery next, where all proxies ask one service. No I/O, no clock.
//!
//! One change of the list ends the watch of every proxy at the same moment, and all of them call again at once: of 100
//! proxies the service can answer 12 to 50 a second, the rest wait until they are turned away and come again. So each
//! leaves a gap between its calls that grows with the number of proxies and with each failure, and is drawn at random
//! round its length. Few proxies leave none: their watches then go on without a break.
//!
//! Who has had an answer leaves the longer gap, who was turned away comes again after a second. The other way round (each
//! failure doubles the own wait) the service goes on working, and always for the same: those that it answered call again
//! first, and one that was turned away ten times in a row hears nothing for 20 s, while what it missed counts as told
//! after 6 s. Nor sooner than a second: to turn a call away costs the service some twentieth part of an answer, and thirty
//! proxies that came again three times a second each were seen to take all of its time.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Gap for each proxy that is told: a service that can take a call of each in two seconds is at half of its capacity
/// when every one of a hundred calls as often as it may.
const EACH: Duration = Duration::from_millis(10);
/// A watch goes on when the next call comes within this time; shorter gaps are none.
const CONTINUED: Duration = Duration::from_millis(200);
/// The longest gap, as a part of the time after which a proxy that does not ask counts as told, and in any case: with its
/// spread it stays 2 s below the 6 s after which a change counts as told, for the call after it and another try.
const LONGEST: f64 = 1.0 / 3.0;
const LONGEST_GAP: Duration = Duration::from_millis(3_300);
/// A gap is drawn from this part below its length up to the same above it.
const SPREAD: f64 = 0.2;
/// What a failed call makes of the gap, and an answered one: down again in small steps, or the service is always asked
/// more than it can answer.
const FAILED: f64 = 2.0;
const ANSWERED: f64 = 0.9;
/// One of many whose call failed comes again after half of this up to one and a half of it: of the 6 s after which a change
/// counts as told it must have several tries.
const AGAIN: Duration = Duration::from_secs(1);
/// All first calls lie within this time: half of those 6 s, for the first may be turned away.
const LONGEST_FIRST: Duration = Duration::from_secs(3);

/// The gaps of one proxy.
pub struct Pacing {
    /// How many there are: as told at the start, and those that live where that is known (else 0).
    told: u32,
    living: Rc<Cell<u32>>,
    most: Duration,
    gap: Duration,
    dice: Pcg32,
}

impl Pacing {
    /// For one of so many proxies, each of which counts as told after `within` without a call.
    pub fn new(proxies: u32, within: Duration, seed: u64) -> Pacing {
        let (most, living) = (within.mul_f64(LONGEST).min(LONGEST_GAP), Rc::default());
        let dice = Pcg32::seed_from_u64(seed);
        let mut pacing = Pacing { told: proxies, living, most, gap: Duration::ZERO, dice };
        pacing.gap = pacing.least();
        pacing
    }

    /// Goes by what this says from now on, as soon as that is not 0.
    pub fn among(self, living: Rc<Cell<u32>>) -> Pacing {
        Pacing { living, ..self }
    }

    fn least(&self) -> Duration {
        let proxies = match self.living.get() {
            0 => self.told,
            living => living,
        };
        let least = (EACH * proxies).min(self.most);
        if least < CONTINUED {
            Duration::ZERO
        } else {
            least
        }
    }

    /// Before the first call: all proxies may have started at the same moment.
    pub fn first(&mut self) -> Duration {
        (self.least() * 2).min(LONGEST_FIRST).mul_f64(self.unit())
    }

    /// After an answered call.
    pub fn answered(&mut self) -> Duration {
        self.gap = match self.least() {
            Duration::ZERO => Duration::ZERO,
            least => self.gap.mul_f64(ANSWERED).max(least),
        };
        self.gap.mul_f64(1.0 - SPREAD + 2.0 * SPREAD * self.unit())
    }

    /// After a failed one, beside what the module waits. Of many, the gap after the next answer grows, that others get one
    /// too; this one has had none.
    pub fn failed(&mut self) -> Duration {
        let least = self.least();
        if least == Duration::ZERO {
            return Duration::ZERO;
        }
        self.gap = self.gap.max(least).mul_f64(FAILED).min(self.most);
        AGAIN.mul_f64(0.5 + self.unit())
    }

    /// Even from 0 up to 1: what many do alike must fall apart in time.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.dice.next_u32()) / 4_294_967_296.0
    }
}

#[cfg(test)]
#[path = "pacing/tests.rs"]
mod tests;
