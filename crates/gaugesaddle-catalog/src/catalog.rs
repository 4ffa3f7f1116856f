//! The merged registrations.

use crate::digest::{self, RANGES};
use gaugesaddle_protocol::{Delta, Entry, Lifecycle, Origin, Registration, VersionVector};
use std::collections::BTreeMap;

/// Registrations that are kept: the fleet designed for, with room for a release that replaces all of it.
pub const MOST_ENTRIES: usize = 40_000;
/// How long what has left stays known, in milliseconds.
pub const KEEP_LEFT: u64 = 120_000;

/// An entry and when it was changed here last.
#[derive(Clone, Debug)]
struct Held {
    entry: Entry,
    changed: u64,
}

/// Registrations by their identity.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    entries: BTreeMap<String, Held>,
    vector: VersionVector,
}

impl Catalog {
    /// All registrations, those that have left included.
    pub fn iter(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values().map(|held| &held.entry.registration)
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|held| &held.entry)
    }

    /// One entry.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id).map(|held| &held.entry)
    }

    /// Which changes of which origin are known.
    pub fn vector(&self) -> &VersionVector {
        &self.vector
    }

    /// A change accepted here under the next number of `origin`; `None` where it brings nothing new.
    pub fn accept(&mut self, now: u64, origin: Origin, registration: Registration) -> Option<Entry> {
        let change = self.vector.of(origin) + 1;
        let entry = Entry { origin, change, registration };
        if !self.put(now, entry.clone()) {
            return None;
        }
        self.vector.advance(origin, change);
        Some(entry)
    }

    /// Takes what another process knows; whether anything changed.
    pub fn merge(&mut self, now: u64, delta: Delta) -> bool {
        let mut changed = false;
        for entry in delta.entries {
            changed |= self.put(now, entry);
        }
        for (origin, change) in delta.vector.0 {
            self.vector.advance(origin, change);
        }
        changed
    }

    /// What a process with that vector lacks.
    pub fn delta(&self, known: &VersionVector) -> Delta {
        let lacks = |entry: &&Entry| entry.change > known.of(entry.origin);
        Delta { entries: self.entries().filter(lacks).cloned().collect(), vector: self.vector.clone() }
    }

    /// Whether a process with that vector lacks anything.
    pub fn has_news_for(&self, known: &VersionVector) -> bool {
        self.vector.0.iter().any(|(origin, change)| *change > known.of(*origin))
    }

    /// The digests of its ranges.
    pub fn digests(&self) -> Vec<u64> {
        digest::of(self.iter())
    }

    /// All entries of the ranges whose digests differ from those told.
    pub fn repair(&self, told: &[u64]) -> Delta {
        let own = self.digests();
        let differs = |range: usize| told.get(range) != own.get(range);
        let entries = self.entries().filter(|e| differs(digest::range_of(&e.registration.id)));
        Delta { entries: entries.cloned().collect(), vector: self.vector.clone() }
    }

    /// Whether the digests told differ from the own ones; a wrong number of them says nothing.
    pub fn differs_from(&self, told: &[u64]) -> bool {
        told.len() == RANGES && told != self.digests()
    }

    /// Forgets what left long ago.
    pub fn purge(&mut self, now: u64) {
        self.entries.retain(|_, held| {
            held.entry.registration.lifecycle == Lifecycle::Ready || now < held.changed + KEEP_LEFT
        });
    }

    fn put(&mut self, now: u64, entry: Entry) -> bool {
        if let Some(held) = self.entries.get_mut(&entry.registration.id) {
            if !supersedes(&entry.registration, &held.entry.registration) {
                return false;
            }
            *held = Held { entry, changed: now };
            return true;
        }
        if self.entries.len() >= MOST_ENTRIES {
            return false;
        }
        self.entries.insert(entry.registration.id.clone(), Held { entry, changed: now });
        true
    }
}

/// Whether a registration takes the place of another of the same identity.
fn supersedes(new: &Registration, old: &Registration) -> bool {
    if new.lifecycle.is_leaving() != old.lifecycle.is_leaving() {
        return new.lifecycle.is_leaving();
    }
    (new.sequence, new.lifecycle) > (old.sequence, old.lifecycle)
}
