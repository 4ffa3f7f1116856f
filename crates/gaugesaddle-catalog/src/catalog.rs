//! The merged registrations, and the version vector of the changes that were merged.

use crate::digest::{self, RANGES};
use gaugesaddle_protocol::{CatalogDelta, CatalogEntry, Lifecycle, Origin, Registration, VersionVector};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of registrations: twice the largest supported fleet, so that a release may replace all of it at once.
pub const MAX_ENTRIES: usize = 40_000;
/// How long a registration that is no longer ready is retained, in milliseconds.
pub const DEPARTED_RETENTION_MS: u64 = 120_000;

/// An entry, and when this process last changed it.
#[derive(Clone, Debug)]
struct StoredEntry {
    entry: CatalogEntry,
    changed_at_ms: u64,
}

/// The effect of merging a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Merged {
    /// At least one registration has changed.
    pub changed: bool,
    /// Changes that precede those of the delta are missing here: they were lost and must be requested.
    pub gap: bool,
}

/// Whether a sender has received the registrations of the entire fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// All of them: a ready registration that the sender lacks belongs to no live process.
    Complete,
    /// Possibly not all of them: a registration that the sender lacks may belong to a live process.
    Partial,
}

/// Registrations by their identity.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    entries: BTreeMap<String, StoredEntry>,
    vector: VersionVector,
}

impl Catalog {
    /// All registrations, including those that have expired, drain or have departed.
    pub fn iter(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values().map(|stored| &stored.entry.registration)
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &CatalogEntry> {
        self.entries.values().map(|stored| &stored.entry)
    }

    /// The entry of an identity.
    pub fn get(&self, id: &str) -> Option<&CatalogEntry> {
        self.entries.get(id).map(|stored| &stored.entry)
    }

    /// For each origin, the number up to which its changes are known.
    pub fn vector(&self) -> &VersionVector {
        &self.vector
    }

    /// Records a change that originates at this process, under the next number of `origin`; `None` where the known
    /// registration has precedence or the catalog is full. `now` in milliseconds.
    pub fn accept(&mut self, now: u64, origin: Origin, registration: Registration) -> Option<CatalogEntry> {
        let change = self.vector.of(origin) + 1;
        let entry = CatalogEntry { origin, change, registration };
        if !self.put(now, entry.clone()) {
            return None;
        }
        self.vector.advance(origin, change);
        Some(entry)
    }

    /// Merges the changes that another process sent.
    ///
    /// The vector advances only where no change is missing in between: everything that it covers is reported to other
    /// processes as known, and a backend's drain is acknowledged on that report.
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

    /// Expires ready registrations that belong to a range listed completely in the delta but are not in that list.
    /// Their leases were granted by processes that no longer exist, so no other process would expire them. A registered
    /// process that is still alive registers again with its next heartbeat.
    fn expire_unlisted(&mut self, now: u64, delta: &CatalogDelta) -> bool {
        if delta.complete_ranges.is_empty() {
            return false;
        }
        let listed: BTreeSet<&str> = delta.entries.iter().map(|e| e.registration.id.as_str()).collect();
        let mut changed = false;
        for (id, stored) in &mut self.entries {
            let registration = &mut stored.entry.registration;
            let is_range_complete = delta.complete_ranges.contains(&(digest::range_of(id) as u8));
            let is_listed = listed.contains(id.as_str());
            if is_range_complete && !is_listed && registration.lifecycle == Lifecycle::Ready {
                registration.lifecycle = Lifecycle::Expired;
                stored.changed_at_ms = now;
                changed = true;
            }
        }
        changed
    }

    /// The changes that a process with the vector `known` lacks.
    pub fn delta(&self, known: &VersionVector) -> CatalogDelta {
        let is_unknown = |entry: &&CatalogEntry| entry.change > known.of(entry.origin);
        CatalogDelta {
            entries: self.entries().filter(is_unknown).cloned().collect(),
            since: known.clone(),
            vector: self.vector.clone(),
            ..CatalogDelta::default()
        }
    }

    /// Whether a process with the vector `known` lacks any change.
    pub fn has_changes_for(&self, known: &VersionVector) -> bool {
        self.vector.0.iter().any(|(origin, change)| *change > known.of(*origin))
    }

    /// The digest of each range.
    pub fn digests(&self) -> Vec<u64> {
        digest::of(self.iter())
    }

    /// All entries of the ranges whose digests differ from `digests`, for the process that sent these and the vector
    /// `known`. `coverage`: whether this process has received the registrations of the entire fleet.
    pub fn repair(&self, digests: &[u64], known: &VersionVector, coverage: Coverage) -> CatalogDelta {
        let own = self.digests();
        let differs = |range: usize| digests.get(range) != own.get(range);
        let complete_ranges = match coverage {
            Coverage::Complete => {
                (0..RANGES).filter(|range| differs(*range)).map(|range| range as u8).collect()
            }
            Coverage::Partial => Vec::new(),
        };
        let entries = self.entries().filter(|e| differs(digest::range_of(&e.registration.id)));
        CatalogDelta {
            entries: entries.cloned().collect(),
            since: known.clone(),
            vector: self.vector.clone(),
            complete_ranges,
        }
    }

    /// Whether the digests of another process differ from this catalog's. False if their number is not [`RANGES`]: a
    /// process that sends no digests requests no comparison.
    pub fn differs_from(&self, digests: &[u64]) -> bool {
        digests.len() == RANGES && digests != self.digests()
    }

    /// Drops the registrations that have not been ready for [`DEPARTED_RETENTION_MS`].
    pub fn purge(&mut self, now: u64) {
        self.entries.retain(|_, stored| {
            let is_ready = stored.entry.registration.lifecycle == Lifecycle::Ready;
            is_ready || now < stored.changed_at_ms + DEPARTED_RETENTION_MS
        });
    }

    /// Stores an entry unless the known one has precedence or the table is full. Returns whether it was stored.
    fn put(&mut self, now: u64, entry: CatalogEntry) -> bool {
        if let Some(stored) = self.entries.get_mut(&entry.registration.id) {
            if !supersedes(&entry.registration, &stored.entry.registration) {
                return false;
            }
            *stored = StoredEntry { entry, changed_at_ms: now };
            return true;
        }
        if self.entries.len() >= MAX_ENTRIES {
            return false;
        }
        let id = entry.registration.id.clone();
        self.entries.insert(id, StoredEntry { entry, changed_at_ms: now });
        true
    }
}

/// Whether a registration replaces another one of the same identity. A registration that is leaving takes precedence
/// over one that is not; otherwise the later call takes precedence.
fn supersedes(new: &Registration, old: &Registration) -> bool {
    if new.lifecycle.is_leaving() != old.lifecycle.is_leaving() {
        return new.lifecycle.is_leaving();
    }
    (new.sequence, new.lifecycle) > (old.sequence, old.lifecycle)
}
