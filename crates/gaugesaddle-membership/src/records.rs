//! The newest record of each member. A record is an opaque payload that its owner publishes to all others. Records are
//! ordered by version within one process of the owner; an older one never replaces a newer one. A record is removed
//! when its owner is dead or departed, or when another process takes the owner's index.

use crate::member_state::Boot;
use gaugesaddle_balancer::{Micros, Time};

/// A member's published record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The process that published it.
    pub boot: Boot,
    /// Higher versions of one process are newer.
    pub version: u32,
    /// The payload, at most [`crate::MAX_RECORD_BYTES`].
    pub body: Vec<u8>,
    received_at: Time,
    age_when_received: Micros,
}

impl Record {
    /// A lower bound of the time since it was published: the transit time of the last hop is not included.
    pub fn age(&self, now: Time) -> Micros {
        Micros((now - self.received_at).0.saturating_add(self.age_when_received.0))
    }
}

#[derive(Clone, Debug, Default)]
struct Slot {
    record: Option<Record>,
    /// Process and version of the newest record so far. It is kept when the record is removed: otherwise
    /// an older one could be inserted afterwards.
    newest: Option<(Boot, u32)>,
}

/// One slot for each configured member; the table does not grow.
#[derive(Clone, Debug)]
pub struct Records(Vec<Slot>);

impl Records {
    /// An empty table for `members` members.
    pub fn new(members: usize) -> Records {
        Records(vec![Slot::default(); members])
    }

    /// Inserts the record of process `boot` with `version`; `age` is its age on arrival. Returns `false` if it is not
    /// newer, or if there is no such index. The caller checks that `boot` is the member's current process.
    pub fn insert(
        &mut self, now: Time, index: u16, (boot, version): (Boot, u32), age: Micros, body: &[u8],
    ) -> bool {
        let Some(slot) = self.0.get_mut(usize::from(index)) else { return false };
        let is_older = |(newest_boot, newest_version)| newest_boot == boot && newest_version >= version;
        if slot.newest.is_some_and(is_older) {
            return false;
        }
        slot.newest = Some((boot, version));
        slot.record =
            Some(Record { boot, version, body: body.to_vec(), received_at: now, age_when_received: age });
        true
    }

    /// Removes the record of a member that is dead or departed, or whose process changed.
    pub fn remove(&mut self, index: u16) {
        if let Some(slot) = self.0.get_mut(usize::from(index)) {
            slot.record = None;
        }
    }

    /// The record of a member.
    pub fn get(&self, index: u16) -> Option<&Record> {
        self.0.get(usize::from(index))?.record.as_ref()
    }
}

#[cfg(test)]
mod tests;
