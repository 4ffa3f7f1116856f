//! A control process's part in the catalog: takes heartbeats, passes changes on, and says when a change is held by
//! enough processes to be acknowledged.
//!
//! ```text
//!  call --> note --(news)--> push to all peers --> each tells its proxies, and acknowledges what it and they have
//!                   |                                        |
//!                   +--> own proxies ------------------------+
//!                                                            v
//!  2xx <-- held: every lively peer and every proxy that called a moment ago has it, a majority of peers at least
//! ```
//!
//! A process that has just started knows no proxies and acknowledges nothing yet. Nothing of this is on a disk. An
//! acknowledged end outlives the loss of all control processes at once because the proxies have it by then, and tell it
//! to the processes that come after.

use crate::peers::{PeerTable, PEER_RESPONSIVE_MS};
use crate::proxies::ProxyTable;
use crate::{Catalog, Leases};
use gaugesaddle_protocol::{
    CatalogDelta, Lifecycle, Origin, PeerMessage, Pull, Registration, Subject, VersionVector,
};
use std::collections::BTreeMap;

/// A proxy's lease in milliseconds; it renews it twice a second and more.
const PROXY_LEASE: u64 = 4000;
/// What was accepted by a process that died has so long to be accepted by another, in milliseconds.
const ORPHAN: u64 = 6000;

/// Whether a change may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationStatus {
    /// Every lively process and proxy has it, and a majority of processes at least.
    Full,
    /// A majority has it; some process or proxy that spoke a moment ago has not said so.
    Majority,
    /// It could be lost.
    Minority,
}

/// The catalog of one control process, its leases and its view of the others.
#[derive(Clone, Debug)]
pub struct CatalogReplica {
    origin: Origin,
    /// When it began, in milliseconds.
    started: u64,
    /// A backend's lease in milliseconds.
    backend_lease: u64,
    catalog: Catalog,
    leases: Leases,
    peers: PeerTable,
    proxies: ProxyTable,
    /// What was acknowledged to the origin of each change.
    acknowledged: VersionVector,
    /// Registrations whose control process died, and since when that is known.
    orphans: BTreeMap<String, u64>,
}

impl CatalogReplica {
    /// An empty one. `origin` is what this process counts its changes under; no other process has the same.
    pub fn new(now: u64, origin: Origin, backend_lease: u64) -> CatalogReplica {
        CatalogReplica {
            origin,
            started: now,
            backend_lease: backend_lease.max(PROXY_LEASE),
            catalog: Catalog::default(),
            leases: Leases::default(),
            peers: PeerTable::default(),
            proxies: ProxyTable::default(),
            acknowledged: VersionVector::default(),
            orphans: BTreeMap::new(),
        }
    }

    /// What this process counts its changes under.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// The registrations.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// The other control processes.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// A peer has introduced itself on a connection.
    pub fn register_peer(&mut self, ip: u32, origin: Origin) {
        self.peers.register_peer(ip, origin);
    }

    /// A peer has spoken; false where another process has taken its place, so that what it says is void.
    pub fn record_contact(&mut self, now: u64, ip: u32, origin: Origin) -> bool {
        self.peers.record_contact(now, ip, origin)
    }

    /// Takes a call of a backend or proxy; what to push to all peers where it brings news.
    pub fn record(&mut self, now: u64, registration: Registration) -> Option<CatalogDelta> {
        self.leases.renew(now, &registration.id, registration.sequence);
        let known = self.catalog.get(&registration.id);
        let news =
            known.is_none_or(|e| e.origin != self.origin || !says_the_same(&e.registration, &registration));
        if news {
            self.accept(now, registration)
        } else {
            None
        }
    }

    /// Takes what a proxy says that it knows; what to acknowledge to which peer now that it does.
    pub fn record_pull(&mut self, now: u64, pull: &Pull) -> Vec<(u32, PeerMessage)> {
        if pull.proxy.lifecycle.is_leaving() {
            self.proxies.left(&pull.proxy.id);
        } else {
            self.proxies.called(now, &pull.proxy.id, &pull.vector);
        }
        let owed = |(origin, change): &&(Origin, u64)| *change > self.acknowledged.of(*origin);
        let origins: Vec<Origin> =
            self.catalog.vector().0.iter().filter(owed).map(|(origin, _)| *origin).collect();
        origins.into_iter().filter_map(|origin| self.acknowledgement(now, origin)).collect()
    }

    /// What to tell the origin of changes, where more of them are known here and at all proxies than it was told.
    fn acknowledgement(&mut self, now: u64, origin: Origin) -> Option<(u32, PeerMessage)> {
        let change = self.held(now, origin);
        let ip = self.peers.machine_of(origin).filter(|_| change > self.acknowledged.of(origin))?;
        self.acknowledged.advance(origin, change);
        Some((ip, PeerMessage::Acknowledge { origin, change }))
    }

    /// Up to which change of an origin this process and the proxies that follow it know them all.
    fn held(&self, now: u64, origin: Origin) -> u64 {
        if self.is_young(now) {
            return 0;
        }
        self.catalog.vector().of(origin).min(self.proxies.all_know(now, origin))
    }

    /// Whether proxies that will follow this process may not have called yet.
    fn is_young(&self, now: u64) -> bool {
        now < self.started + PEER_RESPONSIVE_MS
    }

    /// Takes what a proxy knows to have left; what to push to all peers.
    pub fn record_departed(&mut self, now: u64, left: Vec<Registration>) -> Vec<CatalogDelta> {
        let news = |r: &Registration| {
            let known = self.catalog.get(&r.id);
            r.lifecycle.is_leaving() && known.is_none_or(|e| !e.registration.lifecycle.is_leaving())
        };
        let left: Vec<Registration> = left.into_iter().filter(news).collect();
        left.into_iter().filter_map(|registration| self.accept(now, registration)).collect()
    }

    /// The registration of a backend that says it has left; where it is not known here, one that holds its identity, for
    /// others may know it.
    pub fn departed(&self, id: &str) -> Option<Registration> {
        let mut registration = match self.catalog.get(id) {
            Some(entry) => entry.registration.clone(),
            None => Registration {
                id: id.to_owned(),
                zone: String::new(),
                subject: Subject::Backend { service: String::new(), address: String::new(), slots: 0 },
                sequence: 0,
                lifecycle: Lifecycle::Departed,
            },
        };
        if registration.subject == Subject::Proxy {
            return None;
        }
        registration.lifecycle = Lifecycle::Departed;
        registration.sequence = registration.sequence.saturating_add(1);
        Some(registration)
    }

    /// Takes a change that happened here; what to push to all peers, `None` where it brings nothing new.
    pub fn accept(&mut self, now: u64, registration: Registration) -> Option<CatalogDelta> {
        let entry = self.catalog.accept(now, self.origin, registration)?;
        let mut delta = CatalogDelta::default();
        delta.since.advance(entry.origin, entry.change - 1);
        delta.vector.advance(entry.origin, entry.change);
        delta.entries.push(entry);
        Some(delta)
    }

    /// How far the present registration of an identity has spread in a group of so many voters.
    pub fn spread(&self, now: u64, id: &str, voters: usize) -> ReplicationStatus {
        let Some(entry) = self.catalog.get(id) else { return ReplicationStatus::Minority };
        let (origin, change) = (entry.origin, entry.change);
        // This process and the holders must be more than half.
        if self.is_young(now) || self.peers.holders(origin, change) < voters / 2 {
            return ReplicationStatus::Minority;
        }
        if self.peers.all_responsive_have(now, origin, change) && self.held(now, origin) >= change {
            ReplicationStatus::Full
        } else {
            ReplicationStatus::Majority
        }
    }

    /// Takes what a peer says of the catalog: whether anything changed here, and what to answer. Other messages are
    /// left alone.
    pub fn take(&mut self, now: u64, ip: u32, message: PeerMessage) -> (bool, Vec<PeerMessage>) {
        match message {
            PeerMessage::Push(delta) => self.take_push(now, ip, delta),
            PeerMessage::Acknowledge { origin, change } => {
                self.peers.knows(ip, origin, change);
                (false, Vec::new())
            }
            PeerMessage::Compare { vector, digests, .. } => {
                let push = self.changes_for(now, &vector, &digests).map(PeerMessage::Push);
                // An acknowledgement may have been lost.
                let origin = self.peers.origin_of(ip);
                let held =
                    origin.map(|origin| (origin, self.held(now, origin))).filter(|(_, change)| *change > 0);
                let again = held.map(|(origin, change)| PeerMessage::Acknowledge { origin, change });
                (false, push.into_iter().chain(again).collect())
            }
            _ => (false, Vec::new()),
        }
    }

    fn take_push(&mut self, now: u64, ip: u32, delta: CatalogDelta) -> (bool, Vec<PeerMessage>) {
        let merged = self.catalog.merge(now, delta);
        // Where proxies follow this process they are told first.
        let origin = self.peers.origin_of(ip);
        let acknowledgement = origin.and_then(|origin| self.acknowledgement(now, origin));
        let mut answers: Vec<PeerMessage> = acknowledgement.map(|(_, message)| message).into_iter().collect();
        if merged.gap {
            answers.push(self.compare(false, Vec::new()));
        }
        (merged.changed, answers)
    }

    /// What this process knows, for a peer to push what is lacking here, and the machines that it knows to serve control.
    pub fn compare(&self, with_ranges: bool, members: Vec<u32>) -> PeerMessage {
        let digests = if with_ranges { self.catalog.digests() } else { Vec::new() };
        PeerMessage::Compare { vector: self.catalog.vector().clone(), digests, members }
    }

    /// Whether a process with that vector and those digests lacks anything.
    pub fn has_changes_for(&self, vector: &VersionVector, digests: &[u64]) -> bool {
        self.catalog.has_changes_for(vector) || self.catalog.differs_from(digests)
    }

    /// What such a process lacks: the changes, else the ranges that differ.
    pub fn changes_for(&self, now: u64, vector: &VersionVector, digests: &[u64]) -> Option<CatalogDelta> {
        if self.catalog.has_changes_for(vector) {
            Some(self.catalog.delta(vector))
        } else if self.catalog.differs_from(digests) {
            Some(self.catalog.repair(digests, vector, self.has_heard_all(now)))
        } else {
            None
        }
    }

    /// Whether every backend and proxy that lives must have called here or at a peer since this process began.
    fn has_heard_all(&self, now: u64) -> bool {
        now >= self.started + self.backend_lease && !self.peers.alive(now).is_empty()
    }

    /// Forgets what left long ago, and ends what has fallen silent; what to push to all peers.
    pub fn expire(&mut self, now: u64) -> Vec<CatalogDelta> {
        self.catalog.purge(now);
        let mut ended = self.lapsed(now);
        ended.extend(self.orphaned(now));
        ended.into_iter().filter_map(|registration| self.accept(now, registration)).collect()
    }

    /// Registrations accepted here whose lease has run out.
    fn lapsed(&mut self, now: u64) -> Vec<Registration> {
        let mut ended = Vec::new();
        for (id, heard) in self.leases.expire(now, self.backend_lease) {
            let Some(entry) = self.catalog.get(&id) else { continue };
            if entry.origin == self.origin && entry.registration.lifecycle == Lifecycle::Ready {
                let mut registration = entry.registration.clone();
                registration.sequence = registration.sequence.max(heard.sequence);
                registration.lifecycle = Lifecycle::Expired;
                ended.push(registration);
            }
        }
        ended
    }

    /// Registrations accepted by a process that died, which nobody else has accepted in time.
    fn orphaned(&mut self, now: u64) -> Vec<Registration> {
        let living = self.peers.living_origins(now);
        let lost = |origin: Origin| origin != self.origin && !living.contains(&origin);
        let orphans: Vec<Registration> = self
            .catalog
            .entries()
            .filter(|e| lost(e.origin) && e.registration.lifecycle == Lifecycle::Ready)
            .map(|e| e.registration.clone())
            .collect();
        self.orphans.retain(|id, _| orphans.iter().any(|o| o.id == *id));
        let mut ended = Vec::new();
        for mut registration in orphans {
            let since = *self.orphans.entry(registration.id.clone()).or_insert(now);
            if now >= since + ORPHAN {
                registration.lifecycle = Lifecycle::Expired;
                ended.push(registration);
            }
        }
        ended
    }
}

/// Equal but for the sequence, which rises with each call.
fn says_the_same(a: &Registration, b: &Registration) -> bool {
    a.lifecycle == b.lifecycle && a.subject == b.subject && a.zone == b.zone
}
