//! The merged registrations.

use crate::digest::{self, RANGES};
use gaugesaddle_protocol::{CatalogDelta, Entry, Lifecycle, Origin, Registration, VersionVector};
use std::collections::{BTreeMap, BTreeSet};

/// Registrations that are kept: the fleet designed for, with room for a release that replaces all of it.
pub const MAX_ENTRIES: usize = 40_000;
/// How long what has left stays known, in milliseconds.
pub const DEPARTED_RETENTION_MS: u64 = 120_000;

/// An entry and when it was changed here last.
#[derive(Clone, Debug)]
struct Held {
    entry: Entry,
    changed: u64,
}

/// What became of a delta that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Merged {
    /// Some registration is another than before.
    pub changed: bool,
    /// Changes before those in the delta are not known here: they were lost on their way and must be asked for.
    pub gap: bool,
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

    /// Takes what another process knows. The vector advances only where nothing is missing in between: what it says is
    /// known is passed on as known, and a drain that is acknowledged must be.
    pub fn merge(&mut self, now: u64, delta: CatalogDelta) -> Merged {
        let mut merged = Merged { changed: self.expire_unlisted(now, &delta), gap: false };
        for entry in delta.entries {
            merged.changed |= self.put(now, entry);
        }
        for (origin, change) in delta.vector.0 {
            if self.vector.of(origin) >= delta.since.of(origin) {
                self.vector.advance(origin, change);
            } else {
                merged.gap = true;
            }
        }
        merged
    }

    /// Ends what lives here and is not listed in a range that is told whole: its lease was granted by processes that are
    /// no more, and nobody would ever end it. If it lives, its next heartbeat brings it back.
    fn expire_unlisted(&mut self, now: u64, delta: &CatalogDelta) -> bool {
        if delta.complete_ranges.is_empty() {
            return false;
        }
        let listed: BTreeSet<&str> = delta.entries.iter().map(|e| e.registration.id.as_str()).collect();
        let mut changed = false;
        for (id, held) in &mut self.entries {
            let registration = &mut held.entry.registration;
            let told = delta.complete_ranges.contains(&(digest::range_of(id) as u8));
            if told && registration.lifecycle == Lifecycle::Ready && !listed.contains(id.as_str()) {
                registration.lifecycle = Lifecycle::Expired;
                held.changed = now;
                changed = true;
            }
        }
        changed
    }

    /// What a process with that vector lacks.
    pub fn delta(&self, known: &VersionVector) -> CatalogDelta {
        let lacks = |entry: &&Entry| entry.change > known.of(entry.origin);
        let entries = self.entries().filter(lacks).cloned().collect();
        CatalogDelta { entries, since: known.clone(), vector: self.vector.clone(), ..CatalogDelta::default() }
    }

    /// Whether a process with that vector lacks anything.
    pub fn has_changes_for(&self, known: &VersionVector) -> bool {
        self.vector.0.iter().any(|(origin, change)| *change > known.of(*origin))
    }

    /// The digests of its ranges.
    pub fn digests(&self) -> Vec<u64> {
        digest::of(self.iter())
    }

    /// All entries of the ranges whose digests differ from those told by a process with that vector. `whole`: this
    /// process has heard the whole fleet, so that what it does not list lives no more.
    pub fn repair(&self, told: &[u64], known: &VersionVector, whole: bool) -> CatalogDelta {
        let own = self.digests();
        let differs = |range: usize| told.get(range) != own.get(range);
        let entries = self.entries().filter(|e| differs(digest::range_of(&e.registration.id)));
        let ranges = (0..RANGES).filter(|range| whole && differs(*range));
        CatalogDelta {
            entries: entries.cloned().collect(),
            since: known.clone(),
            vector: self.vector.clone(),
            complete_ranges: ranges.map(|range| range as u8).collect(),
        }
    }

    /// Whether the digests told differ from the own ones; a wrong number of them says nothing.
    pub fn differs_from(&self, told: &[u64]) -> bool {
        told.len() == RANGES && told != self.digests()
    }

    /// Forgets what left long ago.
    pub fn purge(&mut self, now: u64) {
        self.entries.retain(|_, held| {
            held.entry.registration.lifecycle == Lifecycle::Ready
                || now < held.changed + DEPARTED_RETENTION_MS
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
        if self.entries.len() >= MAX_ENTRIES {
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
