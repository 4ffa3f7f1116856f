//! The maintenance loop: once a second it expires leases, compares the catalog with the peers' (anti-entropy) and,
//! while no leader is known, rereads the seeds.

use crate::core::{Core, CoreHandle};
use crate::peer_connections;
use crate::random::random_u64;
use gaugesaddle_config::BootSettings;
use std::time::Duration;

/// Interval of the loop.
const INTERVAL: Duration = Duration::from_millis(1000);

/// Runs until the process ends.
pub async fn run(core: CoreHandle) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        core.expire_leases();
        if core.with(|c| c.leader().is_none()) {
            reload_seeds(&core);
        }
        core.with(|c| {
            let now = c.clock.now();
            c.compare_with_peers(now);
        });
        peer_connections::connect_new_peers(&core);
    }
}

/// Adds the seeds of the boot file, which may have changed since the start.
fn reload_seeds(core: &CoreHandle) {
    // A file that cannot be read now is read again in the next iteration.
    let Ok(boot) = BootSettings::read() else { return };
    core.with(|c| c.add_peers(boot.seeds.iter().map(|seed| u32::from(*seed.ip()))));
}

impl Core {
    /// Sends every peer a summary of the catalog, which also shows that this process is alive, and one random peer the
    /// digests of its ranges.
    fn compare_with_peers(&mut self, now: u64) {
        let alive = self.catalog_replica.peers().alive(now);
        let random_peer = alive.get(random_u64() as usize % alive.len().max(1)).copied();
        self.peers.broadcast(&self.compare(false));
        if let Some(ip) = random_peer {
            let compare = self.compare(true);
            self.peers.send(ip, compare);
        }
    }
}
