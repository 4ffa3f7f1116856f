//! Tells the other control processes what the proxies that call this one see of the backends' load.

use crate::core::CoreHandle;
use gaugesaddle_protocol::{BackendLoad, PeerMessage};
use std::time::Duration;

/// Reports of so long are told together.
const GATHER: Duration = Duration::from_millis(80);

/// Runs for as long as the process lives.
pub async fn run(core: CoreHandle) {
    let reported = core.with(|c| c.reported.clone());
    loop {
        reported.notified().await;
        tokio::time::sleep(GATHER).await;
        core.with(|c| {
            let sums = c.loads.local_sums(c.clock.now());
            c.peers.broadcast(&PeerMessage::Load(sums));
        });
    }
}

/// Takes a proxy's report; what all proxies see.
pub fn report(core: &CoreHandle, proxy: u64, loads: Vec<BackendLoad>) -> Vec<BackendLoad> {
    core.with(|c| {
        let now = c.clock.now();
        c.loads.record_report(now, proxy, loads);
        c.reported.notify_one();
        c.loads.total_sums(now)
    })
}
