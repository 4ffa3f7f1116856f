//! How long a suspect has to object: shorter, the more proxies found it silent by themselves (Lifeguard).

use crate::settings::Settings;
use gaugesaddle_balancer::{Micros, Time};

/// Others beside the first whose finding shortens the time; with them it is at its least.
pub const CONFIRMERS: usize = 3;

/// A suspicion that runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    began: Time,
    /// Who found it silent, each once; at most one more than [`CONFIRMERS`].
    by: Vec<u16>,
}

impl Suspicion {
    /// One that begins.
    pub fn new(now: Time, by: u16) -> Suspicion {
        Suspicion { began: now, by: vec![by] }
    }

    /// Another one found so too. `true` where that counts and is worth telling on.
    pub fn confirmed(&mut self, by: u16) -> bool {
        let counts = self.by.len() <= CONFIRMERS && !self.by.contains(&by);
        if counts {
            self.by.push(by);
        }
        counts
    }

    /// When its time is out, with so many living proxies that could have confirmed it.
    pub fn end(&self, settings: &Settings, others: usize) -> Time {
        let most = CONFIRMERS.min(others);
        let confirmed = (self.by.len() - 1).min(most);
        let left = match most {
            0 => 0.0,
            _ => 1.0 - ((confirmed + 1) as f64).ln() / ((most + 1) as f64).ln(),
        };
        let more = (settings.suspect_most.0 - settings.suspect_least.0) as f64 * left;
        self.began + settings.suspect_least + Micros(more as u64)
    }

    /// Whether this one found it silent, or nobody more is needed.
    pub fn is_by(&self, place: u16) -> bool {
        self.by.len() > CONFIRMERS || self.by.contains(&place)
    }

    /// When it began.
    pub fn began(&self) -> Time {
        self.began
    }

    /// It begins anew: the suspect was heard, or this proxy slept.
    pub fn put_off(&mut self, to: Time) {
        self.began = self.began.max(to);
    }
}

#[cfg(test)]
mod tests;
