//! Decides whether and when the call of a backend may be acknowledged.

use crate::{CatalogReplica, ReplicationStatus};
use gaugesaddle_protocol::Registration;

/// How long the call of a backend that leaves waits for acknowledgements from the other control processes, in
/// milliseconds. It is shorter than the second after which the caller turns to another control process.
const REPLICATION_TIMEOUT_MS: u64 = 600;

/// What to answer to a backend's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcknowledgementDecision {
    /// Undecided: decide again later.
    Wait,
    /// The change is replicated well enough to be acknowledged.
    Acknowledge,
    /// The change may be lost: the caller should turn to another control process.
    Reject,
}

/// A backend's call that waits for its answer.
///
/// ```text
///                 +-- not fresh -----------------------------------------> Reject
///                 +-- the backend is ready ------------------------------> Acknowledge
///  Wait, decide --+-- leaves, status Full -------------------------------> Acknowledge
///   ^             +-- leaves, deadline reached, status Majority ---------> Acknowledge
///   |             +-- leaves, deadline reached, status Minority ---------> Reject
///   +-------------+-- otherwise
/// ```
///
/// A backend that got its acknowledgement stops after a fixed time, by which every proxy must have stopped sending to
/// it. The acknowledgement is therefore given only where all responsive processes have the change, a majority at least,
/// and only by a process that is in touch with a majority at the moment of the answer: a process that was partitioned
/// in the meantime may have replicated the change only within its own side of the partition.
#[derive(Clone, Debug)]
pub struct Acknowledgement {
    id: String,
    /// The call announces that the backend drains or has departed.
    is_leaving: bool,
    deadline_ms: u64,
}

impl Acknowledgement {
    /// The acknowledgement of a call that the catalog replica records at `now` (milliseconds, steady clock).
    pub fn new(now: u64, registration: &Registration) -> Acknowledgement {
        Acknowledgement {
            id: registration.id.clone(),
            is_leaving: registration.lifecycle.is_leaving(),
            deadline_ms: now + REPLICATION_TIMEOUT_MS,
        }
    }

    /// When the call is decided at the latest, in milliseconds of the steady clock.
    pub fn deadline(&self) -> u64 {
        self.deadline_ms
    }

    /// Decides at `now` (milliseconds). `is_fresh`: whether this process was in touch with a majority of the `voters`
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
            ReplicationStatus::Majority if is_due => AcknowledgementDecision::Acknowledge,
            ReplicationStatus::Minority if is_due => AcknowledgementDecision::Reject,
            ReplicationStatus::Majority | ReplicationStatus::Minority => AcknowledgementDecision::Wait,
        }
    }
}
