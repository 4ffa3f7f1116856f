//! Load reports of the proxies, aggregated at this process and exchanged with the other control processes.

use crate::core::CoreHandle;
use gaugesaddle_protocol::{BackendLoad, PeerMessage};
use std::time::Duration;

/// Reports that arrive within this time are broadcast together.
const BATCH_WINDOW: Duration = Duration::from_millis(80);

/// Broadcasts the sums of the proxies' reports to the peers until the process ends.
pub async fn run(core: CoreHandle) {
    let load_reported = core.with(|c| c.load_reported.clone());
    loop {
        load_reported.notified().await;
        tokio::time::sleep(BATCH_WINDOW).await;
        core.with(|c| {
            let sums = c.loads.local_sums(c.clock.now());
            c.peers.broadcast(&PeerMessage::Load(sums));
        });
    }
}

/// Records a proxy's report and returns the load of the backends over all proxies.
pub fn record(core: &CoreHandle, proxy: u64, loads: Vec<BackendLoad>) -> Vec<BackendLoad> {
    core.with(|c| {
        let now = c.clock.now();
        c.loads.record_report(now, proxy, loads);
        c.load_reported.notify_one();
        c.loads.total_sums(now)
    })
}
