//! The time-out of a suspicion (Lifeguard, section IV.B): the more members suspect independently, the shorter it gets.

use crate::settings::Settings;
use gaugesaddle_balancer::{Micros, Time};

/// Confirmations, beside the first suspicion, that shorten the time-out to its minimum.
pub const MAX_CONFIRMATIONS: usize = 3;

/// A suspicion that has not timed out yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    started_at: Time,
    /// The members that suspect, each once; at most `MAX_CONFIRMATIONS + 1`.
    suspecters: Vec<u16>,
}

impl Suspicion {
    /// A suspicion first raised by `suspecter`.
    pub fn new(now: Time, suspecter: u16) -> Suspicion {
        Suspicion { started_at: now, suspecters: vec![suspecter] }
    }

    /// Records that another member suspects as well. Returns `true` if this shortens the time-out and should be
    /// disseminated.
    pub fn confirm(&mut self, suspecter: u16) -> bool {
        let is_new = !self.is_confirmed_by(suspecter);
        if is_new {
            self.suspecters.push(suspecter);
        }
        is_new
    }

    /// When it times out, given the number of live members that could have confirmed it. The time-out falls with the
    /// logarithm of the confirmations, from `max_suspicion` to `min_suspicion`.
    pub fn deadline(&self, settings: &Settings, other_members: usize) -> Time {
        let expected = MAX_CONFIRMATIONS.min(other_members);
        let confirmations = (self.suspecters.len() - 1).min(expected);
        let remaining = match expected {
            0 => 0.0,
            _ => 1.0 - ((confirmations + 1) as f64).ln() / ((expected + 1) as f64).ln(),
        };
        let range = (settings.max_suspicion.0 - settings.min_suspicion.0) as f64;
        self.started_at + settings.min_suspicion + Micros((range * remaining) as u64)
    }

    /// Whether this member has confirmed it, or no further confirmation counts.
    pub fn is_confirmed_by(&self, member: u16) -> bool {
        self.suspecters.len() > MAX_CONFIRMATIONS || self.suspecters.contains(&member)
    }

    /// When it started.
    pub fn started_at(&self) -> Time {
        self.started_at
    }

    /// Restarts the time-out at `at`, if that is later: a datagram of the suspect arrived, or this process stalled.
    pub fn postpone(&mut self, at: Time) {
        self.started_at = self.started_at.max(at);
    }
}

#[cfg(test)]
mod tests;
