//! What each living proxy says of itself. The newest by boot and version stands; an older one never takes its place,
//! and with its owner it goes. What it says is not read here.

use crate::claim::Boot;
use gaugesaddle_balancer::{Micros, Time};

/// One proxy's word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Of which of its processes.
    pub boot: Boot,
    /// Newer ones are higher.
    pub version: u32,
    /// What it says.
    pub body: Vec<u8>,
    taken: Time,
    old: Micros,
}

impl Record {
    /// How long ago it was said, at least: the last way here is not counted.
    pub fn age(&self, now: Time) -> Micros {
        Micros((now - self.taken).0.saturating_add(self.old.0))
    }
}

#[derive(Clone, Debug, Default)]
struct Slot {
    record: Option<Record>,
    /// The newest that ever stood: it outlasts the record, or an old one could come in after it was dropped.
    newest: Option<(Boot, u32)>,
}

/// A slot for each place of the told list, and no more.
#[derive(Clone, Debug)]
pub struct Records(Vec<Slot>);

impl Records {
    /// None yet of so many places.
    pub fn new(places: usize) -> Records {
        Records(vec![Slot::default(); places])
    }

    /// Takes one in; `false` where it is not newer. Whether its boot is the present one, the caller has seen to.
    pub fn take(&mut self, now: Time, place: u16, word: (Boot, u32), old: Micros, body: &[u8]) -> bool {
        let Some(slot) = self.0.get_mut(usize::from(place)) else { return false };
        let (boot, version) = word;
        if slot.newest.is_some_and(|(b, v)| b == boot && v >= version) {
            return false;
        }
        slot.newest = Some(word);
        slot.record = Some(Record { boot, version, body: body.to_vec(), taken: now, old });
        true
    }

    /// Its owner is dead, gone or another process.
    pub fn drop(&mut self, place: u16) {
        if let Some(slot) = self.0.get_mut(usize::from(place)) {
            slot.record = None;
        }
    }

    /// The one of a place.
    pub fn get(&self, place: u16) -> Option<&Record> {
        self.0.get(usize::from(place))?.record.as_ref()
    }
}

#[cfg(test)]
mod tests;
