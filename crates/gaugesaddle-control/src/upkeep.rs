//! What is done once a second: leases that ran out, origins that died, catalogs compared.

use crate::core::{Core, CoreHandle};
use crate::peers;
use gaugesaddle_config::BootSettings;
use gaugesaddle_protocol::{Lifecycle, Registration};
use spdlog::info;
use std::time::Duration;

/// Between two rounds.
const ROUND: Duration = Duration::from_millis(1000);
/// A backend's lease, in its heartbeats.
const HEARTBEATS: f64 = 3.5;
/// A proxy's lease in milliseconds; it renews it twice a second and more.
const PROXY_LEASE: u64 = 4000;
/// What was accepted by a process that died has so long to be accepted by another, in milliseconds.
const ORPHAN: u64 = 6000;

/// Runs for as long as the process lives.
pub async fn run(core: CoreHandle) {
    let mut orphaned = std::collections::HashMap::new();
    loop {
        tokio::time::sleep(ROUND).await;
        for registration in core.with(|c| due(c, &mut orphaned)) {
            info!("lease of {} has run out", registration.id);
            core.accept(registration);
        }
        if core.with(|c| c.leader().is_none()) {
            know_seeds(&core);
        }
        core.with(|c| {
            let now = c.clock.now();
            c.catalog.purge(now);
            c.tell_peers(now);
        });
        peers::open_wanted(&core);
    }
}

/// Takes the seeds of the boot file, which may have changed, while there is no leader.
fn know_seeds(core: &CoreHandle) {
    // A file that cannot be read now is read again.
    let Ok(boot) = BootSettings::read() else { return };
    core.with(|c| {
        let own = c.boot.ip;
        for seed in boot.seeds.iter().filter(|s| *s.ip() != own) {
            c.peers.know(u32::from(*seed.ip()));
        }
    });
}

impl Core {
    /// Tells every other control process that this one lives and what it knows; one of them, drawn, also compares the
    /// ranges.
    fn tell_peers(&mut self, now: u64) {
        let alive = self.peers.alive(now);
        let drawn = alive.get(crate::core::draw() as usize % alive.len().max(1)).copied();
        self.peers.broadcast(&self.compare(false));
        if let Some(ip) = drawn {
            let compare = self.compare(true);
            self.peers.send(ip, compare);
        }
    }
}

/// Registrations whose lease has run out.
fn due(core: &mut Core, orphaned: &mut std::collections::HashMap<String, u64>) -> Vec<Registration> {
    let now = core.clock.now();
    let backend_lease = (core.boot.heartbeat_ms as f64 * HEARTBEATS) as u64;
    let mut ended: Vec<Registration> = Vec::new();
    for (id, heard) in core.leases.expire(now, backend_lease.max(PROXY_LEASE)) {
        let Some(entry) = core.catalog.get(&id) else { continue };
        if entry.origin == core.origin && entry.registration.lifecycle == Lifecycle::Ready {
            let mut registration = entry.registration.clone();
            registration.sequence = registration.sequence.max(heard.sequence);
            registration.lifecycle = Lifecycle::Expired;
            ended.push(registration);
        }
    }
    let living = core.peers.living_origins(now);
    let orphans = core.catalog.entries().filter(|e| {
        let lost = e.origin != core.origin && !living.contains(&e.origin);
        lost && e.registration.lifecycle == Lifecycle::Ready
    });
    let orphans: Vec<Registration> = orphans.map(|e| e.registration.clone()).collect();
    orphaned.retain(|id, _| orphans.iter().any(|o| o.id == *id));
    for mut registration in orphans {
        let since = *orphaned.entry(registration.id.clone()).or_insert(now);
        if now >= since + ORPHAN {
            registration.lifecycle = Lifecycle::Expired;
            ended.push(registration);
        }
    }
    ended
}
