//! What is still to be told: the newest claim about each proxy, the least told first, each so many times.

use crate::claim::Claim;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug)]
struct Rumor {
    claim: Claim,
    by: u16,
    told: u32,
}

/// At most one rumour about each proxy: the told list bounds it.
#[derive(Clone, Debug, Default)]
pub struct Rumors {
    about: BTreeMap<u16, Rumor>,
    /// By how often each was told.
    order: BTreeSet<(u32, u16)>,
}

impl Rumors {
    /// Something new about a proxy takes the place of what was to be told of it.
    pub fn add(&mut self, subject: u16, claim: Claim, by: u16) {
        if let Some(old) = self.about.insert(subject, Rumor { claim, by, told: 0 }) {
            self.order.remove(&(old.told, subject));
        }
        self.order.insert((0, subject));
    }

    /// Nothing more of this one.
    pub fn remove(&mut self, subject: u16) {
        if let Some(old) = self.about.remove(&subject) {
            self.order.remove(&(old.told, subject));
        }
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.about.is_empty()
    }

    /// Tells the least told ones while `tell` takes them; what was told `most` times goes.
    pub fn tell(&mut self, most: u32, mut tell: impl FnMut(u16, Claim, u16) -> bool) {
        let mut told = Vec::new();
        for (times, subject) in &self.order {
            let Some(rumor) = self.about.get(subject) else { continue };
            if !tell(*subject, rumor.claim, rumor.by) {
                break;
            }
            told.push((*times, *subject));
        }
        for (times, subject) in told {
            self.order.remove(&(times, subject));
            if times + 1 >= most {
                self.about.remove(&subject);
            } else if let Some(rumor) = self.about.get_mut(&subject) {
                rumor.told = times + 1;
                self.order.insert((times + 1, subject));
            }
        }
    }
}

#[cfg(test)]
mod tests;
