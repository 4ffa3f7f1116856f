//! Heartbeats of backends and their end.

use crate::core::CoreHandle;
use gaugesaddle_catalog::{Acknowledgement, AcknowledgementDecision};
use gaugesaddle_protocol::{Lifecycle, Registration, Subject};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A heartbeat is at most so long.
pub const MAX_BYTES: usize = 4096;
/// Between two looks at the acknowledgements.
const LOOK: Duration = Duration::from_millis(3);

/// What a heartbeat says, as far as it is used.
#[derive(Debug, Deserialize)]
pub struct Heartbeat {
    service: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    state: String,
    #[serde(default)]
    sequence: u64,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registered {
    /// The news will live.
    Acknowledged,
    /// It may not: another process should be called.
    NotSpread,
    /// It is no such call.
    Malformed,
}

/// Takes a heartbeat.
pub async fn heartbeat(core: &CoreHandle, id: &str, body: &[u8]) -> Registered {
    let Ok(beat) = serde_json::from_slice::<Heartbeat>(body) else { return Registered::Malformed };
    if id.is_empty() || beat.address.parse::<SocketAddrV4>().is_err() {
        return Registered::Malformed;
    }
    let lifecycle = if beat.state == "draining" { Lifecycle::Draining } else { Lifecycle::Ready };
    let subject = Subject::Backend { service: beat.service, address: beat.address, slots: beat.slots };
    let registration =
        Registration { id: id.to_owned(), zone: beat.zone, subject, sequence: beat.sequence, lifecycle };
    register(core, registration).await
}

/// Takes the end of a backend.
pub async fn deregister(core: &CoreHandle, id: &str) -> Registered {
    match core.with(|c| c.catalog_replica.departed(id)) {
        Some(registration) if !id.is_empty() => register(core, registration).await,
        _ => Registered::Malformed,
    }
}

async fn register(core: &CoreHandle, registration: Registration) -> Registered {
    let waiting = core.with(|c| Acknowledgement::new(c.clock.now(), &registration));
    core.record(registration);
    loop {
        let decided = core.with(|c| {
            let now = c.clock.now();
            let voters = c.replica.as_ref().map_or(0, |r| r.voters().len());
            waiting.decide(now, &c.catalog_replica, c.is_fresh(), voters)
        });
        match decided {
            AcknowledgementDecision::Acknowledge => return Registered::Acknowledged,
            AcknowledgementDecision::Reject => return Registered::NotSpread,
            AcknowledgementDecision::Wait => tokio::time::sleep(LOOK).await,
        }
    }
}
