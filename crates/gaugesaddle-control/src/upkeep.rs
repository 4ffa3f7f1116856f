//! What is done once a second: leases that ran out, origins that died, catalogs compared.

use crate::core::{Core, CoreHandle};
use crate::peers;
use gaugesaddle_config::BootSettings;
use std::time::Duration;

/// Between two rounds.
const ROUND: Duration = Duration::from_millis(1000);

/// Runs for as long as the process lives.
pub async fn run(core: CoreHandle) {
    loop {
        tokio::time::sleep(ROUND).await;
        core.expire();
        if core.with(|c| c.leader().is_none()) {
            know_seeds(&core);
        }
        core.with(|c| {
            let now = c.clock.now();
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
        let alive = self.catalog_replica.peers().alive(now);
        let drawn = alive.get(crate::core::draw() as usize % alive.len().max(1)).copied();
        self.peers.broadcast(&self.compare(false));
        if let Some(ip) = drawn {
            let compare = self.compare(true);
            self.peers.send(ip, compare);
        }
    }
}
