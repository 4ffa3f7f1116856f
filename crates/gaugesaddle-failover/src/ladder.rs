//! How far a zone is trusted that was lost: its own traffic back in steps, and later each time that it goes again.
//!
//! ```text
//!             lost                 back for `wait`            each `step` without a loss
//!   Whole ───────────► Lost ───────────────────────► rung 0 ───────► ... ───────► Whole
//!                        ▲                              │ lost for a moment: one rung back
//!                        └──────────────────────────────┘ lost on rung 0, or for `gone`
//! ```
//!
//! Each loss within `memory` doubles the wait, up to `longest`: a zone that comes and goes costs what a lost one costs.

use gaugesaddle_balancer::{Micros, Time};

/// The figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rungs {
    /// The part of its capacity that a zone is trusted with first; each rung doubles it.
    pub first: f64,
    /// On each rung so long.
    pub step: Micros,
    /// Back for so long before it is trusted at all.
    pub wait: Micros,
    /// The longest that wait may grow to.
    pub longest: Micros,
    /// Lost on a rung for so long it is lost altogether.
    pub gone: Micros,
    /// A loss longer ago lengthens no wait.
    pub memory: Micros,
}

impl Default for Rungs {
    fn default() -> Rungs {
        // A cold backend takes some ten seconds to be warm: an eighth, a quarter, a half, and all of it after nine. A
        // zone that goes every three seconds is left alone after its second loss.
        Rungs {
            first: 0.125,
            step: Micros(3_000_000),
            wait: Micros(500_000),
            longest: Micros(30_000_000),
            gone: Micros(1_000_000),
            memory: Micros(60_000_000),
        }
    }
}

/// How a zone stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// It has its own and what others send.
    Whole,
    /// It gets nothing.
    Lost,
    /// It gets a part of what it can do.
    Rung(u8),
}

/// One zone's.
#[derive(Clone, Debug)]
pub struct Ladder {
    rungs: Rungs,
    trust: Trust,
    since: Time,
    /// Since when it has been there, or has not, without a break.
    there: Option<Time>,
    missing: Option<Time>,
    /// Losses in a row, and when the last was.
    losses: u32,
    last: Time,
}

impl Ladder {
    /// A zone that nothing is known against.
    pub fn new(rungs: Rungs) -> Ladder {
        let (since, last) = (Time(0), Time(0));
        Ladder { rungs, trust: Trust::Whole, since, there: None, missing: None, losses: 0, last }
    }

    /// How it stands.
    pub fn trust(&self) -> Trust {
        self.trust
    }

    /// The part of what it can do that it may be sent.
    pub fn part(&self) -> f64 {
        match self.trust {
            Trust::Whole => 1.0,
            Trust::Lost => 0.0,
            Trust::Rung(rung) => (self.rungs.first * f64::from(1u32 << rung.min(20))).min(1.0),
        }
    }

    /// How long it has to be back before it is trusted again.
    pub fn wait(&self) -> Micros {
        let doubled = self.losses.saturating_sub(1).min(16);
        Micros(self.rungs.wait.0.saturating_mul(1 << doubled).min(self.rungs.longest.0))
    }

    /// A look: whether the judgement finds it lost. Tells whether it stands otherwise than before.
    pub fn look(&mut self, now: Time, lost: bool) -> bool {
        let before = self.trust;
        if lost {
            self.there = None;
            self.missing.get_or_insert(now);
        } else {
            self.missing = None;
            self.there.get_or_insert(now);
        }
        match self.trust {
            Trust::Whole if lost => self.lose(now),
            Trust::Lost if self.there.is_some_and(|at| now - at >= self.wait()) => {
                self.step(now, Trust::Rung(0))
            }
            Trust::Rung(0) if lost => self.lose(now),
            Trust::Rung(_) if self.missing.is_some_and(|at| now - at >= self.rungs.gone) => self.lose(now),
            // Seen lost at one look: one rung back, once until it is there again.
            Trust::Rung(rung) if lost && self.missing == Some(now) => self.step(now, Trust::Rung(rung - 1)),
            Trust::Rung(rung) if !lost && now - self.since >= self.rungs.step => {
                self.step(now, Trust::Rung(rung + 1));
                if self.part() >= 1.0 {
                    self.trust = Trust::Whole;
                }
            }
            _ => {}
        }
        self.trust != before
    }

    fn step(&mut self, now: Time, trust: Trust) {
        (self.trust, self.since) = (trust, now);
    }

    fn lose(&mut self, now: Time) {
        let again = self.losses > 0 && now - self.last < self.rungs.memory;
        self.losses = if again { self.losses.saturating_add(1) } else { 1 };
        self.last = now;
        self.step(now, Trust::Lost);
    }
}

#[cfg(test)]
mod tests;
