//! Raft messages between the replicas of the configuration, and the records that a replica persists.
//!
//! Numbers of sections and figures refer to the Raft thesis (Ongaro, "Consensus: Bridging Theory and Practice").

use gaugesaddle_delta::{DeltaError, Digest, DocumentDelta};
use musli::{Decode, Encode};
use std::fmt;
use std::net::Ipv4Addr;

/// Identity of a replica: a machine and the incarnation of its disk. A machine that loses its disk becomes a new
/// replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReplicaId {
    /// The machine's IPv4 address, network order.
    pub ip: u32,
    /// 0 for a disk first used when the cluster is bootstrapped, random for every other one.
    pub incarnation: u64,
}

impl ReplicaId {
    /// The machine's IPv4 address.
    pub fn address(self) -> Ipv4Addr {
        Ipv4Addr::from(self.ip)
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}#{:x}", self.address(), self.incarnation)
    }
}

/// Position of a state in the replicated history. Positions are ordered by the leader's term, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct LogPosition {
    /// Term of the leader that created the state.
    pub term: u64,
    /// Index of the state, incremented by one for each new state.
    pub index: u64,
}

/// Record of an accepted change, used to recognize a repetition of the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AcceptedChange {
    /// The revision that the change created.
    pub revision: u64,
    /// Digest of the request: its base revision and the exact bytes of its body.
    pub digest: Digest,
}

/// The replicated state: a single value that each change replaces as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct State {
    /// Position of the state in the history.
    pub position: LogPosition,
    /// Revision of the configuration; 0 before the first configuration.
    pub revision: u64,
    /// The configuration: the exact bytes that the operator sent, or the result of applying the operator's patch.
    #[musli(bytes)]
    pub document: Vec<u8>,
    /// The newest accepted changes, oldest first.
    pub accepted: Vec<AcceptedChange>,
    /// The highest revision that was dropped from `accepted`. Whether a change with this or a lower revision was
    /// accepted can no longer be determined.
    pub pruned_revision: u64,
    /// The voting replicas.
    pub voters: Vec<ReplicaId>,
    /// The old voters while a membership change is in progress, otherwise empty. Until the change completes, every
    /// decision also needs a majority of the old voters (joint consensus, thesis 4.3).
    pub outgoing: Vec<ReplicaId>,
}

/// A document, encoded for a receiver that may have an earlier version of it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum DocumentUpdate {
    /// The receiver already has this version.
    Unchanged,
    /// A delta against the version that the receiver has.
    Delta(DocumentDelta),
    /// The full document.
    Full(#[musli(bytes)] Vec<u8>),
}

impl DocumentUpdate {
    /// Returns the smallest update for a receiver whose version is `base`; `None` if the receiver has no version.
    pub fn between(base: Option<&[u8]>, document: &[u8]) -> DocumentUpdate {
        let Some(base) = base else { return DocumentUpdate::Full(document.to_vec()) };
        if base == document {
            return DocumentUpdate::Unchanged;
        }
        let delta = DocumentDelta::between(base, document);
        if delta.size() < document.len() {
            DocumentUpdate::Delta(delta)
        } else {
            DocumentUpdate::Full(document.to_vec())
        }
    }

    /// Reconstructs the document from `base`, the version that the receiver has.
    ///
    /// # Errors
    ///
    /// A [`DeltaError`] if the update was made against another version than `base`.
    pub fn apply(self, base: Option<&[u8]>) -> Result<Vec<u8>, DeltaError> {
        match (self, base) {
            (DocumentUpdate::Full(document), _) => Ok(document),
            (DocumentUpdate::Unchanged, Some(base)) => Ok(base.to_vec()),
            (DocumentUpdate::Delta(delta), Some(base)) => delta.apply(base),
            (DocumentUpdate::Unchanged | DocumentUpdate::Delta(_), None) => Err(DeltaError::BaseMismatch),
        }
    }
}

/// A state, encoded for transfer to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StateUpdate {
    /// The state against which this one is encoded; `None` for a full state.
    pub base: Option<LogPosition>,
    /// Position of the state in the history.
    pub position: LogPosition,
    /// Revision of the configuration.
    pub revision: u64,
    /// The configuration.
    pub document: DocumentUpdate,
    /// The accepted changes that the base lacks, oldest first.
    pub accepted: Vec<AcceptedChange>,
    /// See [`State::pruned_revision`].
    pub pruned_revision: u64,
    /// See [`State::voters`].
    pub voters: Vec<ReplicaId>,
    /// See [`State::outgoing`].
    pub outgoing: Vec<ReplicaId>,
}

/// The part of a replica's Raft state that is persisted beside [`State`] (thesis 3.8).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HardState {
    /// The replica's identity.
    pub id: ReplicaId,
    /// The latest term that the replica has seen.
    pub term: u64,
    /// The candidate that received the replica's vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// A reading of the monotonic clock of one process, meaningful to that process only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClockReading {
    /// Random number of the process, so that readings from before a restart are not taken for its own.
    pub process: u64,
    /// Time on the clock, in milliseconds.
    pub time_ms: u64,
}

/// A message from one replica to another. Names and the use of terms follow the thesis (figure 3.1).
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaMessage {
    /// Requests a pre-vote: whether the receiver would vote for the sender in this term (thesis 9.6).
    RequestPreVote {
        /// The term that the candidate would enter.
        term: u64,
        /// Position of the candidate's newest state.
        last_position: LogPosition,
    },
    /// The response to `RequestPreVote`.
    RequestPreVoteResponse {
        /// The term of the request if granted, else the responder's term.
        term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// A candidate requests a vote (thesis 3.4).
    RequestVote {
        /// The candidate's term.
        term: u64,
        /// Position of the candidate's newest state.
        last_position: LogPosition,
        /// Whether the leader requested this election: voters then need not wait until that leader has timed out.
        leadership_transfer: bool,
    },
    /// The response to `RequestVote`.
    RequestVoteResponse {
        /// The voter's term.
        term: u64,
        /// Whether the vote is granted. A granted vote is durable before it is sent.
        granted: bool,
    },
    /// The leader's heartbeat, with its newest state if the receiver may lack it (thesis 3.5).
    Append {
        /// The leader's term.
        term: u64,
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// Position of the leader's newest state.
        last_position: LogPosition,
        /// Position of the newest state that the leader knows to be committed.
        committed: LogPosition,
        /// The newest state, if the receiver may lack it.
        state: Option<Box<StateUpdate>>,
        /// The newest clock reading that the receiver has sent to this leader. A majority followed this leader at that
        /// time on the receiver's clock, or later.
        echoed_reading: Option<ClockReading>,
    },
    /// The response to `Append`.
    AppendResponse {
        /// The follower's term.
        term: u64,
        /// Sequence number of the heartbeat that it responds to.
        sequence: u64,
        /// Position of the newest state of this term that is durable at the follower; term 0, index 0 if there is none.
        matched: LogPosition,
        /// Position of the newest state that the follower has received, durable or not.
        received: LogPosition,
        /// Time at which the follower received that heartbeat, on its own clock.
        clock_reading: ClockReading,
    },
    /// Leadership transfer: the receiver starts an election at once (thesis 3.10).
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// A non-voting replica requests states from the leader and becomes a learner (thesis 4.2.1).
    Join {
        /// Whether the sender has a disk and may become a voter.
        durable: bool,
    },
    /// A replica whose process is about to end requests to be removed from the voters (thesis 4.2.2).
    Leave {
        /// Random number of the process, as in its [`ClockReading`]s.
        process: u64,
    },
    /// The leader's response to `Leave`.
    LeaveResponse {
        /// The process that sent the request.
        process: u64,
        /// How far the departure has proceeded.
        departure: Departure,
    },
}

/// How far the departure of a replica that requests to leave the group has proceeded, according to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Departure {
    /// The replica is not a voter, and the state without it is committed.
    Left,
    /// The replica remains a voter: the group has no more voters than it needs, and no learner can take its place. The
    /// process may end; the group counts it as unresponsive then.
    Required,
    /// The leader has not answered, or the removal is not committed yet. If the process ended now, the replica could
    /// remain a voter.
    Pending,
}
