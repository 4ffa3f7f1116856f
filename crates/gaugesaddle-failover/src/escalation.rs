//! Restores traffic to a zone level by level after it was lost.

use crate::failure_evaluator::ZoneStatus;
use gaugesaddle_balancer::{Micros, Time};

/// Highest exponent of the doubled fraction; a guard against overflow, since the fraction is capped at 1 before.
const MAX_LEVEL_EXPONENT: u8 = 20;
/// Highest exponent of the doubled backoff; a guard against overflow, since `max_backoff` caps it before.
const MAX_BACKOFF_EXPONENT: u32 = 16;

/// The levels of an [`EscalationPolicy`] and their times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EscalationLevels {
    /// Fraction of its capacity that a zone is trusted with on level 0; each further level doubles it.
    pub initial_fraction: f64,
    /// Time on each level.
    pub level_duration: Micros,
    /// Time for which a lost zone must be available before level 0, after its first loss.
    pub initial_backoff: Micros,
    /// Maximum of that time, which doubles with each repeated loss.
    pub max_backoff: Micros,
    /// A zone that is lost for this long on any level loses all trust.
    pub loss_timeout: Micros,
    /// Time after which a loss no longer lengthens the backoff.
    pub loss_memory: Micros,
}

impl Default for EscalationLevels {
    fn default() -> EscalationLevels {
        // A backend with cold caches needs about ten seconds to warm up: the zone is trusted with an eighth, a quarter,
        // a half, and all of its capacity after nine seconds. A zone that is lost every three seconds is not trusted
        // again after its second loss.
        EscalationLevels {
            initial_fraction: 0.125,
            level_duration: Micros(3_000_000),
            initial_backoff: Micros(500_000),
            max_backoff: Micros(30_000_000),
            loss_timeout: Micros(1_000_000),
            loss_memory: Micros(60_000_000),
        }
    }
}

/// How far a zone is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// With its full capacity.
    Full,
    /// Not at all.
    Lost,
    /// With the fraction of this level.
    Level(u8),
}

/// The trust in one zone.
///
/// ```text
///            lost            available for `backoff`          each `level_duration` without a loss
///   Full ───────────► Lost ───────────────────────► Level(0) ───────► Level(1) ───────► ... ───────► Full
///                      ▲                                │  ▲              │
///                      ├── lost ────────────────────────┘  └── lost: one level back, once per loss
///                      └── lost for `loss_timeout` on any level
/// ```
///
/// Each loss within `loss_memory` of the one before doubles the backoff, up to `max_backoff`, so that a flapping zone costs
/// no more than a lost one.
#[derive(Clone, Debug)]
pub struct EscalationPolicy {
    levels: EscalationLevels,
    trust: Trust,
    /// Start of the present trust.
    since: Time,
    /// Start of the present uninterrupted availability.
    available_since: Option<Time>,
    /// Start of the present uninterrupted loss.
    lost_since: Option<Time>,
    /// Losses, each within `loss_memory` of the one before.
    consecutive_losses: u32,
    last_loss: Time,
}

impl EscalationPolicy {
    /// A zone that is trusted with its full capacity.
    pub fn new(levels: EscalationLevels) -> EscalationPolicy {
        EscalationPolicy {
            levels,
            trust: Trust::Full,
            since: Time(0),
            available_since: None,
            lost_since: None,
            consecutive_losses: 0,
            last_loss: Time(0),
        }
    }

    /// How far the zone is trusted.
    pub fn trust(&self) -> Trust {
        self.trust
    }

    /// The fraction of its capacity that the zone may be sent, 0 to 1.
    pub fn trusted_fraction(&self) -> f64 {
        match self.trust {
            Trust::Full => 1.0,
            Trust::Lost => 0.0,
            Trust::Level(level) => {
                let factor = f64::from(1u32 << level.min(MAX_LEVEL_EXPONENT));
                (self.levels.initial_fraction * factor).min(1.0)
            }
        }
    }

    /// How long the zone has to be available before it is trusted again.
    pub fn backoff(&self) -> Micros {
        let exponent = self.consecutive_losses.saturating_sub(1).min(MAX_BACKOFF_EXPONENT);
        let backoff = self.levels.initial_backoff.0.saturating_mul(1 << exponent);
        Micros(backoff.min(self.levels.max_backoff.0))
    }

    /// Takes the zone's present status and returns whether the trust changed.
    pub fn observe(&mut self, now: Time, status: ZoneStatus) -> bool {
        let before = self.trust;
        match status {
            ZoneStatus::Lost => {
                self.available_since = None;
                self.lost_since.get_or_insert(now);
                self.observe_lost(now);
            }
            ZoneStatus::Available => {
                self.lost_since = None;
                self.available_since.get_or_insert(now);
                self.observe_available(now);
            }
        }
        self.trust != before
    }

    fn observe_lost(&mut self, now: Time) {
        match self.trust {
            Trust::Lost => {}
            Trust::Full | Trust::Level(0) => self.record_loss(now),
            Trust::Level(level) => {
                let is_timed_out =
                    self.lost_since.is_some_and(|since| now - since >= self.levels.loss_timeout);
                if is_timed_out {
                    self.record_loss(now);
                } else if self.lost_since == Some(now) {
                    // Only at the start of a loss: its later observations must not lower the level again.
                    self.set_trust(now, Trust::Level(level - 1));
                }
            }
        }
    }

    fn observe_available(&mut self, now: Time) {
        match self.trust {
            Trust::Full => {}
            Trust::Lost => {
                if self.available_since.is_some_and(|since| now - since >= self.backoff()) {
                    self.set_trust(now, Trust::Level(0));
                }
            }
            Trust::Level(level) => {
                if now - self.since >= self.levels.level_duration {
                    self.set_trust(now, Trust::Level(level + 1));
                    if self.trusted_fraction() >= 1.0 {
                        self.trust = Trust::Full;
                    }
                }
            }
        }
    }

    fn set_trust(&mut self, now: Time, trust: Trust) {
        self.trust = trust;
        self.since = now;
    }

    fn record_loss(&mut self, now: Time) {
        let is_repeated = self.consecutive_losses > 0 && now - self.last_loss < self.levels.loss_memory;
        self.consecutive_losses = if is_repeated { self.consecutive_losses.saturating_add(1) } else { 1 };
        self.last_loss = now;
        self.set_trust(now, Trust::Lost);
    }
}

#[cfg(test)]
mod tests;
