//! Decides whether and when a backend's call may be acknowledged.

use crate::{CatalogReplica, ReplicationStatus};
use gaugesaddle_protocol::Registration;

/// How long the call of a leaving backend waits for acknowledgements from the other control processes, in milliseconds.
/// It is shorter than 1 s, after which the caller retries at another control process.
const REPLICATION_TIMEOUT_MS: u64 = 600;

/// The decision on a backend's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcknowledgementDecision {
    /// Undecided: to be decided again later.
    Wait,
    /// The change is replicated well enough to be acknowledged.
    Acknowledge,
    /// The change may be lost: the caller should retry at another control process.
    Reject,
}

/// A backend's call that is not answered yet.
///
/// ```text
///                 +-- not fresh -----------------------------------------> Reject
///                 +-- the backend is ready ------------------------------> Acknowledge
///  Wait, decide --+-- leaves, status Full -------------------------------> Acknowledge
///   ^             +-- leaves, deadline reached --------------------------> Reject
///   +-------------+-- otherwise
/// ```
///
/// A backend stops a fixed time after its acknowledgement; by then every proxy must have stopped sending to it. The
/// call is therefore acknowledged only after the change is replicated to all responsive processes, a majority at least,
/// and to the proxies that pull from them: the control processes have it in memory alone, which all of them may lose at
/// once. A peer or proxy that does not respond delays the acknowledgement until it no longer counts as responsive. The
/// process must also be in contact with a majority when it answers: if it was partitioned in the meantime, it may have
/// replicated the change only within its own side of the partition.
#[derive(Clone, Debug)]
pub struct Acknowledgement {
    id: String,
    /// The call announces that the backend drains or has departed.
    is_leaving: bool,
    deadline_ms: u64,
}

impl Acknowledgement {
    /// The acknowledgement of a call that the catalog replica records at `now` (milliseconds, monotonic clock).
    pub fn new(now: u64, registration: &Registration) -> Acknowledgement {
        Acknowledgement {
            id: registration.id.clone(),
            is_leaving: registration.lifecycle.is_leaving(),
            deadline_ms: now + REPLICATION_TIMEOUT_MS,
        }
    }

    /// Time by which the call is decided, in milliseconds of the monotonic clock.
    pub fn deadline(&self) -> u64 {
        self.deadline_ms
    }

    /// Decides at `now` (milliseconds). `is_fresh`: whether this process was in contact with a majority of the `voters`
    /// replicas within its lease.
    pub fn decide(
        &self, now: u64, catalog_replica: &CatalogReplica, is_fresh: bool, voters: usize,
    ) -> AcknowledgementDecision {
        if !is_fresh {
            return AcknowledgementDecision::Reject;
        }
        if !self.is_leaving {
            return AcknowledgementDecision::Acknowledge;
        }
        let status = catalog_replica.replication_status(now, &self.id, voters);
        let is_due = now >= self.deadline_ms;
        match status {
            ReplicationStatus::Full => AcknowledgementDecision::Acknowledge,
            ReplicationStatus::Majority | ReplicationStatus::Minority if is_due => {
                AcknowledgementDecision::Reject
            }
            ReplicationStatus::Majority | ReplicationStatus::Minority => AcknowledgementDecision::Wait,
        }
    }
}
