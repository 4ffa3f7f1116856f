//! Registrations of backends: heartbeats and deregistrations, acknowledged once they are replicated.

use crate::core::CoreHandle;
use gaugesaddle_catalog::{Acknowledgement, AcknowledgementDecision};
use gaugesaddle_protocol::{Lifecycle, Registration, Subject};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum size of a heartbeat, in bytes.
pub const MAX_HEARTBEAT_BYTES: usize = 4096;
/// Interval between checks of the replication status.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Body of a heartbeat; unknown members are ignored.
#[derive(Debug, Deserialize)]
struct Heartbeat {
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

/// Outcome of a heartbeat or deregistration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// Replicated far enough that it will not be lost.
    Acknowledged,
    /// It may be lost: the backend should call another process.
    NotReplicated,
    /// The call is malformed, or deregisters an unknown backend.
    Malformed,
}

/// Handles a heartbeat of the backend `id`.
pub async fn handle_heartbeat(core: &CoreHandle, id: &str, body: &[u8]) -> RegistrationOutcome {
    let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(body) else {
        return RegistrationOutcome::Malformed;
    };
    if id.is_empty() || heartbeat.address.parse::<SocketAddrV4>().is_err() {
        return RegistrationOutcome::Malformed;
    }
    let lifecycle = if heartbeat.state == "draining" { Lifecycle::Draining } else { Lifecycle::Ready };
    let subject =
        Subject::Backend { service: heartbeat.service, address: heartbeat.address, slots: heartbeat.slots };
    let registration = Registration {
        id: id.to_owned(),
        zone: heartbeat.zone,
        subject,
        sequence: heartbeat.sequence,
        lifecycle,
    };
    register(core, registration).await
}

/// Handles the deregistration of the backend `id`.
pub async fn handle_deregister(core: &CoreHandle, id: &str) -> RegistrationOutcome {
    match core.with(|c| c.catalog_replica.departure_of(id)) {
        Some(registration) if !id.is_empty() => register(core, registration).await,
        _ => RegistrationOutcome::Malformed,
    }
}

async fn register(core: &CoreHandle, registration: Registration) -> RegistrationOutcome {
    let acknowledgement = core.with(|c| Acknowledgement::new(c.clock.now(), &registration));
    core.record(registration);
    loop {
        let decided = core.with(|c| {
            let now = c.clock.now();
            let voters = c.replica.as_ref().map_or(0, |replica| replica.voters().len());
            acknowledgement.decide(now, &c.catalog_replica, c.is_fresh(), voters)
        });
        match decided {
            AcknowledgementDecision::Acknowledge => return RegistrationOutcome::Acknowledged,
            AcknowledgementDecision::Reject => return RegistrationOutcome::NotReplicated,
            AcknowledgementDecision::Wait => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}
