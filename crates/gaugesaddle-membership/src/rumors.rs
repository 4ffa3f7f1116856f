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
mod tests {
    use super::*;
    use crate::claim::{Boot, Standing};

    fn claim(incarnation: u32) -> Claim {
        Claim { boot: Boot(1), incarnation, standing: Standing::Alive }
    }

    fn told(rumors: &mut Rumors, room: usize) -> Vec<(u16, u32)> {
        let mut out = Vec::new();
        rumors.tell(2, |subject, claim, _| {
            let fits = out.len() < room;
            if fits {
                out.push((subject, claim.incarnation));
            }
            fits
        });
        out
    }

    #[test]
    fn the_least_told_goes_first_and_each_goes_after_its_times() {
        let mut rumors = Rumors::default();
        (1..=3).for_each(|n| rumors.add(n, claim(0), 0));
        assert_eq!(told(&mut rumors, 2), [(1, 0), (2, 0)]);
        assert_eq!(told(&mut rumors, 2), [(3, 0), (1, 0)]);
        assert_eq!(told(&mut rumors, 9), [(2, 0), (3, 0)]);
        assert!(rumors.is_empty() && rumors.order.is_empty());
    }

    #[test]
    fn news_take_the_place_of_what_was_said_before() {
        let mut rumors = Rumors::default();
        rumors.add(1, claim(0), 0);
        assert_eq!(told(&mut rumors, 9), [(1, 0)]);
        rumors.add(1, claim(1), 0);
        assert_eq!((rumors.about.len(), rumors.order.len()), (1, 1));
        assert_eq!(told(&mut rumors, 9), [(1, 1)]);
        rumors.remove(1);
        assert!(rumors.is_empty() && rumors.order.is_empty());
    }
}
