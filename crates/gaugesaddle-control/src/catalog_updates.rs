//! Updates of the catalog: recorded at this process, replicated to the peers and announced to waiting proxies.

use crate::core::{Core, CoreHandle};
use gaugesaddle_distribution::Completion;
use gaugesaddle_protocol::{CatalogDelta, PeerMessage, Pull, Registration, FEATURE_COMPRESSION};
use spdlog::info;

impl CoreHandle {
    /// Handles a peer's message about the catalog and sends the responses.
    pub fn handle_catalog_message(&self, ip: u32, message: PeerMessage) {
        let changed = self.with(|core| {
            let now = core.clock.now();
            let outcome = core.catalog_replica.apply(now, ip, message);
            for response in outcome.responses {
                core.peers.send(ip, response);
            }
            outcome.changed
        });
        if changed {
            self.notify_change();
        }
    }

    /// Records a registration of a backend or proxy.
    pub fn record(&self, registration: Registration) {
        self.replicate(|core, now| core.catalog_replica.record(now, registration).into_iter().collect());
    }

    /// Records a proxy's pull: renews its lease, and acknowledges to the peers the changes that the proxy confirms.
    pub fn record_pull(&self, pull: &Pull) {
        self.with(|core| {
            let now = core.clock.now();
            for (ip, message) in core.catalog_replica.record_pull(now, pull) {
                core.peers.send(ip, message);
            }
            core.record_progress(now, pull);
        });
        self.record(pull.proxy.clone());
    }

    /// Records departed registrations that a proxy reports.
    pub fn record_departed(&self, departed: Vec<Registration>) {
        self.replicate(|core, now| core.catalog_replica.record_departed(now, departed));
    }

    /// Expires leases that were not renewed.
    pub fn expire_leases(&self) {
        self.replicate(|core, now| {
            let expired = core.catalog_replica.expire(now);
            for entry in expired.iter().flat_map(|delta| &delta.entries) {
                info!("lease of {} expired", entry.registration.id);
            }
            expired
        });
    }

    /// Applies an update of the catalog and pushes the resulting deltas to all peers.
    fn replicate(&self, update: impl FnOnce(&mut Core, u64) -> Vec<CatalogDelta>) {
        let changed = self.with(|core| {
            let now = core.clock.now();
            let deltas = update(core, now);
            for delta in &deltas {
                core.peers.broadcast(&PeerMessage::Push(delta.clone()));
            }
            !deltas.is_empty()
        });
        if changed {
            self.notify_change();
        }
    }
}

impl Core {
    /// Records which configuration a proxy has, and logs when the newest one is in force at all proxies of this process.
    fn record_progress(&mut self, now: u64, pull: &Pull) {
        let id = &pull.proxy.id;
        if pull.proxy.lifecycle.is_leaving() {
            self.distribution_progress.remove(id);
        } else if let Some(done) = self.distribution_progress.record_pull(now, id, pull.position) {
            let Completion { revision, proxies, duration_ms } = done;
            info!("configuration revision {revision} is in force at all {proxies} proxies after {duration_ms} ms");
        }
    }

    /// Addresses of the machines that run a control process, including this one.
    pub fn members(&self, now: u64) -> Vec<u32> {
        let mut members = self.catalog_replica.peers().alive(now);
        members.push(u32::from(self.boot.ip));
        members
    }

    /// Adds machines that run a control process as peers.
    pub fn add_peers(&mut self, members: impl Iterator<Item = u32>) {
        let own_ip = u32::from(self.boot.ip);
        for member in members.filter(|ip| *ip != own_ip) {
            self.peers.add(member);
        }
    }

    /// The message that opens a connection to a peer.
    pub fn hello(&self) -> PeerMessage {
        let now = self.clock.now();
        PeerMessage::Hello {
            ip: u32::from(self.boot.ip),
            has_disk: self.has_disk,
            features: Some(FEATURE_COMPRESSION),
            origin: self.catalog_replica.origin(),
            members: self.members(now),
        }
    }

    /// The summary of the catalog that a peer compares with its own; `with_ranges` adds the digests of the ranges.
    pub fn compare(&self, with_ranges: bool) -> PeerMessage {
        let now = self.clock.now();
        self.catalog_replica.compare(with_ranges, self.members(now))
    }
}
