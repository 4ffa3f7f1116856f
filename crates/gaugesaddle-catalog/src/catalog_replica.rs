//! A control process's copy of the catalog: records registrations, replicates changes to its peers and proxies, and
//! determines how far a change has been replicated.
//!
//! ```text
//!  call --> record --(changed)--> push to all peers --> each passes it to its proxies, and acknowledges to the origin
//!                        |                                 the changes that it and all its proxies have
//!                        +--> own proxies ------------------------+
//!                                                                 v
//!  2xx <-- Full: every responsive peer and proxy has it, a majority of the control processes at least
//! ```
//!
//! A process that has just started does not know its proxies yet, so it acknowledges no changes. The catalog is kept in
//! memory only. A departure that is fully replicated survives the simultaneous loss of all control processes, because
//! the proxies have it and report it to the control processes that start afterwards.

use crate::peers::{PeerTable, PEER_RESPONSIVE_MS};
use crate::proxies::ProxyTable;
use crate::{Catalog, Coverage, Leases};
use gaugesaddle_protocol::{
    CatalogDelta, Lifecycle, Origin, PeerMessage, Pull, Registration, Subject, VersionVector,
};
use std::collections::BTreeMap;

/// Minimum lease, in milliseconds: that of a proxy, which renews it at least twice a second.
const PROXY_LEASE_MS: u64 = 4000;
/// How long a registration may stay orphaned (the control process that accepted it is dead) before it expires, in
/// milliseconds. Its next heartbeat reaches another control process well within that time.
const ORPHAN_TIMEOUT_MS: u64 = 6000;

/// How far a change has been replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationStatus {
    /// Every responsive control process and proxy has it, and a majority of control processes at least.
    Full,
    /// A majority has it; some responsive process or proxy has not confirmed it.
    Majority,
    /// No majority is known to have it, or this process has just started: it could be lost.
    Minority,
}

/// The effect of a peer's message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerOutcome {
    /// At least one registration has changed here.
    pub changed: bool,
    /// Messages to send back to the peer.
    pub responses: Vec<PeerMessage>,
}

/// The catalog of one control process, the leases that it granted and the progress of its peers and proxies.
#[derive(Clone, Debug)]
pub struct CatalogReplica {
    origin: Origin,
    started_ms: u64,
    backend_lease_ms: u64,
    catalog: Catalog,
    leases: Leases,
    peers: PeerTable,
    proxies: ProxyTable,
    /// For each origin, the number up to which its changes were acknowledged.
    acknowledged: VersionVector,
    /// When each orphaned registration was first seen to be orphaned, in milliseconds.
    orphaned_since_ms: BTreeMap<String, u64>,
}

impl CatalogReplica {
    /// An empty replica that starts at `now` (milliseconds). Its changes are numbered under `origin`, which must differ
    /// from that of every other process, past ones included. `backend_lease_ms` is raised to a proxy's lease if it is
    /// shorter.
    pub fn new(now: u64, origin: Origin, backend_lease_ms: u64) -> CatalogReplica {
        CatalogReplica {
            origin,
            started_ms: now,
            backend_lease_ms: backend_lease_ms.max(PROXY_LEASE_MS),
            catalog: Catalog::default(),
            leases: Leases::default(),
            peers: PeerTable::default(),
            proxies: ProxyTable::default(),
            acknowledged: VersionVector::default(),
            orphaned_since_ms: BTreeMap::new(),
        }
    }

    /// The origin that this process numbers its changes under.
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

    /// Registers the process that opened a connection from a peer's machine.
    pub fn register_peer(&mut self, ip: u32, origin: Origin) {
        self.peers.register_peer(ip, origin);
    }

    /// Records a message of a peer; false where another process has been registered on that machine since, so that the
    /// message must be dropped.
    pub fn record_contact(&mut self, now: u64, ip: u32, origin: Origin) -> bool {
        self.peers.record_contact(now, ip, origin)
    }

    /// Records the call of a backend or proxy and renews its lease. Returns the delta to push to all peers where the
    /// registration has changed.
    pub fn record(&mut self, now: u64, registration: Registration) -> Option<CatalogDelta> {
        self.leases.renew(now, &registration.id, registration.sequence);
        if let Some(known) = self.catalog.get(&registration.id) {
            if known.origin == self.origin && is_same_state(&known.registration, &registration) {
                return None;
            }
        }
        self.accept(now, registration)
    }

    /// Records which changes a proxy has. Returns the acknowledgements that result, each with the address of the peer
    /// to send it to.
    pub fn record_pull(&mut self, now: u64, pull: &Pull) -> Vec<(u32, PeerMessage)> {
        if pull.proxy.lifecycle.is_leaving() {
            self.proxies.remove(&pull.proxy.id);
        } else {
            self.proxies.record_pull(now, &pull.proxy.id, &pull.vector);
        }
        let mut unacknowledged = Vec::new();
        for (origin, change) in &self.catalog.vector().0 {
            if *change > self.acknowledged.of(*origin) {
                unacknowledged.push(*origin);
            }
        }
        unacknowledged.into_iter().filter_map(|origin| self.acknowledge(now, origin)).collect()
    }

    /// The acknowledgement to send to `origin`, if this process and all of its proxies have more of the origin's
    /// changes than were acknowledged before.
    fn acknowledge(&mut self, now: u64, origin: Origin) -> Option<(u32, PeerMessage)> {
        let change = self.known_with_proxies(now, origin);
        if change <= self.acknowledged.of(origin) {
            return None;
        }
        let ip = self.peers.machine_of(origin)?;
        self.acknowledged.advance(origin, change);
        Some((ip, PeerMessage::Acknowledge { origin, change }))
    }

    /// The number up to which this process and all proxies that pull from it have the changes of an origin.
    fn known_with_proxies(&self, now: u64, origin: Origin) -> u64 {
        if self.is_starting(now) {
            return 0;
        }
        let known_here = self.catalog.vector().of(origin);
        known_here.min(self.proxies.known_by_all(now, origin))
    }

    /// Whether this process started so recently that some of its proxies may not have pulled yet.
    fn is_starting(&self, now: u64) -> bool {
        now < self.started_ms + PEER_RESPONSIVE_MS
    }

    /// Records the departures that a proxy reports. Returns the deltas to push to all peers.
    pub fn record_departed(&mut self, now: u64, departed: Vec<Registration>) -> Vec<CatalogDelta> {
        let is_change = |registration: &Registration| {
            let known = self.catalog.get(&registration.id);
            let is_known = known.is_some_and(|entry| entry.registration.lifecycle.is_leaving());
            registration.lifecycle.is_leaving() && !is_known
        };
        let changes: Vec<Registration> = departed.into_iter().filter(is_change).collect();
        changes.into_iter().filter_map(|registration| self.accept(now, registration)).collect()
    }

    /// The registration that records the departure of a backend; `None` for a proxy. If the identity is not known here,
    /// the other fields are empty: other processes may know it.
    pub fn departure_of(&self, id: &str) -> Option<Registration> {
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

    /// Accepts a change that originates here. Returns the delta to push to all peers, `None` where the known
    /// registration has precedence.
    pub fn accept(&mut self, now: u64, registration: Registration) -> Option<CatalogDelta> {
        let entry = self.catalog.accept(now, self.origin, registration)?;
        let mut delta = CatalogDelta::default();
        delta.since.advance(entry.origin, entry.change - 1);
        delta.vector.advance(entry.origin, entry.change);
        delta.entries.push(entry);
        Some(delta)
    }

    /// How far the current registration of an identity has been replicated in a group of `voters` replicas.
    pub fn replication_status(&self, now: u64, id: &str, voters: usize) -> ReplicationStatus {
        let Some(entry) = self.catalog.get(id) else { return ReplicationStatus::Minority };
        let (origin, change) = (entry.origin, entry.change);
        // This process and the peers that have the change must be more than half of the voters.
        let has_majority = self.peers.acknowledged_count(origin, change) >= voters / 2;
        if self.is_starting(now) || !has_majority {
            return ReplicationStatus::Minority;
        }
        let peers_have = self.peers.all_responsive_have(now, origin, change);
        let proxies_have = self.known_with_proxies(now, origin) >= change;
        if peers_have && proxies_have {
            ReplicationStatus::Full
        } else {
            ReplicationStatus::Majority
        }
    }

    /// Applies a peer's message about the catalog. Other messages have no effect.
    pub fn apply(&mut self, now: u64, ip: u32, message: PeerMessage) -> PeerOutcome {
        match message {
            PeerMessage::Push(delta) => self.apply_push(now, ip, delta),
            PeerMessage::Acknowledge { origin, change } => {
                self.peers.record_acknowledged(ip, origin, change);
                PeerOutcome::default()
            }
            PeerMessage::Compare { vector, digests, .. } => self.apply_compare(now, ip, &vector, &digests),
            _ => PeerOutcome::default(),
        }
    }

    fn apply_push(&mut self, now: u64, ip: u32, delta: CatalogDelta) -> PeerOutcome {
        let merged = self.catalog.merge(now, delta);
        let mut responses = Vec::new();
        // Without proxies the changes can be acknowledged at once, otherwise only after the proxies have pulled them.
        if let Some(origin) = self.peers.origin_of(ip) {
            responses.extend(self.acknowledge(now, origin).map(|(_, message)| message));
        }
        if merged.gap {
            responses.push(self.compare(false, Vec::new()));
        }
        PeerOutcome { changed: merged.changed, responses }
    }

    fn apply_compare(&self, now: u64, ip: u32, vector: &VersionVector, digests: &[u64]) -> PeerOutcome {
        let mut responses = Vec::new();
        responses.extend(self.changes_for(now, vector, digests).map(PeerMessage::Push));
        // The acknowledgement is repeated with each comparison, since an earlier one may have been lost.
        if let Some(origin) = self.peers.origin_of(ip) {
            let change = self.known_with_proxies(now, origin);
            if change > 0 {
                responses.push(PeerMessage::Acknowledge { origin, change });
            }
        }
        PeerOutcome { changed: false, responses }
    }

    /// The message that requests from a peer the changes that this process lacks. `with_digests` adds the range
    /// digests, which reveal differences that the vectors do not show; `members` are the machines known to run control
    /// processes.
    pub fn compare(&self, with_digests: bool, members: Vec<u32>) -> PeerMessage {
        let digests = if with_digests { self.catalog.digests() } else { Vec::new() };
        PeerMessage::Compare { vector: self.catalog.vector().clone(), digests, members }
    }

    /// Whether a process with this vector and these digests lacks anything.
    pub fn has_changes_for(&self, vector: &VersionVector, digests: &[u64]) -> bool {
        self.catalog.has_changes_for(vector) || self.catalog.differs_from(digests)
    }

    /// The entries that a process with this vector and these digests lacks: the changes missing in the vector,
    /// otherwise the ranges that differ.
    pub fn changes_for(&self, now: u64, vector: &VersionVector, digests: &[u64]) -> Option<CatalogDelta> {
        if self.catalog.has_changes_for(vector) {
            Some(self.catalog.delta(vector))
        } else if self.catalog.differs_from(digests) {
            Some(self.catalog.repair(digests, vector, self.coverage(now)))
        } else {
            None
        }
    }

    /// Complete once a backend's lease has passed since the start and a peer is alive: by then every live backend and
    /// proxy has called this process or a peer.
    fn coverage(&self, now: u64) -> Coverage {
        let has_lease_passed = now >= self.started_ms + self.backend_lease_ms;
        if has_lease_passed && !self.peers.alive(now).is_empty() {
            Coverage::Complete
        } else {
            Coverage::Partial
        }
    }

    /// Purges old departures, and expires registrations whose lease has run out or that stay orphaned. Returns the
    /// deltas to push to all peers. Must be called several times a second.
    pub fn expire(&mut self, now: u64) -> Vec<CatalogDelta> {
        self.catalog.purge(now);
        let mut expired = self.expire_leases(now);
        expired.extend(self.expire_orphaned(now));
        expired.into_iter().filter_map(|registration| self.accept(now, registration)).collect()
    }

    /// Registrations accepted here whose lease has run out.
    fn expire_leases(&mut self, now: u64) -> Vec<Registration> {
        let mut expired = Vec::new();
        for lease in self.leases.expire(now, self.backend_lease_ms) {
            let Some(entry) = self.catalog.get(&lease.id) else { continue };
            if entry.origin == self.origin && entry.registration.lifecycle == Lifecycle::Ready {
                let mut registration = entry.registration.clone();
                registration.sequence = registration.sequence.max(lease.last_heartbeat.sequence);
                registration.lifecycle = Lifecycle::Expired;
                expired.push(registration);
            }
        }
        expired
    }

    /// Registrations whose control process is dead, and which no other process has accepted within
    /// [`ORPHAN_TIMEOUT_MS`].
    fn expire_orphaned(&mut self, now: u64) -> Vec<Registration> {
        let alive = self.peers.alive_origins(now);
        let is_dead = |origin: Origin| origin != self.origin && !alive.contains(&origin);
        let orphaned: Vec<Registration> = self
            .catalog
            .entries()
            .filter(|e| is_dead(e.origin) && e.registration.lifecycle == Lifecycle::Ready)
            .map(|e| e.registration.clone())
            .collect();
        self.orphaned_since_ms.retain(|id, _| orphaned.iter().any(|o| o.id == *id));
        let mut expired = Vec::new();
        for mut registration in orphaned {
            let since_ms = *self.orphaned_since_ms.entry(registration.id.clone()).or_insert(now);
            if now >= since_ms + ORPHAN_TIMEOUT_MS {
                registration.lifecycle = Lifecycle::Expired;
                expired.push(registration);
            }
        }
        expired
    }
}

/// Whether two registrations are equal but for the sequence, which rises with each call.
fn is_same_state(a: &Registration, b: &Registration) -> bool {
    a.lifecycle == b.lifecycle && a.subject == b.subject && a.zone == b.zone
}
