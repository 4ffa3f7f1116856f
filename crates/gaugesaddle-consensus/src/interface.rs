//! The inputs and outputs of a replica.

use crate::proposal::{Proposal, ProposalResult};
use gaugesaddle_protocol::{Configuration, HardState, ReplicaId, ReplicaMessage, State};
use thiserror::Error;

/// Sequence number of a disk write. Numbers increase by one, and writes complete in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteId(pub u64);

/// An event that the host reports to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Required no later than at [`Replica::deadline`](crate::Replica::deadline).
    Tick,
    /// A message of another replica has arrived.
    Message {
        /// Its sender.
        from: ReplicaId,
        /// The message.
        message: ReplicaMessage,
    },
    /// This write and all earlier ones are durable.
    Persisted(WriteId),
    /// An operator's change. The host chooses the request number; [`Output::Proposed`] answers with the same one.
    Propose(u64, Box<Proposal>),
    /// A linearizable read. The host chooses the request number; [`Output::Read`] answers with the same one.
    Read(u64),
}

/// An action that a replica requires of its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to one replica. It may be lost, delayed or reordered.
    Send(ReplicaId, ReplicaMessage),
    /// Send a message to every other replica in the host's list of peers.
    Broadcast(ReplicaMessage),
    /// Write and sync, then report [`Input::Persisted`].
    Persist {
        /// Number of the write.
        write_id: WriteId,
        /// Replaces the hard state on the disk.
        hard_state: HardState,
        /// Replaces the state on the disk; `None` if it has not changed.
        state: Option<Box<State>>,
    },
    /// The configuration in [`Replica::committed`](crate::Replica::committed) has changed.
    Committed,
    /// The result of the proposal with this request number.
    Proposed(u64, ProposalResult),
    /// The answer to the read with this request number: the newest committed configuration, `None` before the first.
    Read(u64, Result<Option<Configuration>, NotLeader>),
}

/// The replica is not the leader and cannot answer a linearizable read. The client should try another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this replica is not the leader")]
pub struct NotLeader;

/// A server's state in Raft (thesis 3.3).
///
/// ```text
///            election time-out and pre-votes of a quorum,
///            or TimeoutNow from the leader               votes of a quorum, own vote durable
///  Follower -------------------------------> Candidate ------------------------------> Leader
///     ^  ^                                       |                                        |
///     |  +-- newer term, a leader, or votes -----+                                        |
///     |      rejected by too many voters                                                  |
///     +-- newer term, no contact with a quorum for `leader_lease_ms`, own write slower ---+
///         than `disk_stall_ms`, or leadership transferred
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests votes.
    Candidate,
    /// Replicates the state and answers proposals and reads.
    Leader,
}

/// Whether a replica has a disk. It decides whether it may vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Storage {
    /// Writes survive a restart: the replica is a voter, or requests to become one.
    Durable,
    /// No disk: the replica never votes and remains a learner.
    Diskless,
    /// No disk, but a voter of the initial group: the replica votes from memory. A replica with a disk takes its place,
    /// and it becomes a learner (see [`Replica::bootstrap`](crate::Replica::bootstrap)).
    Witness,
}
