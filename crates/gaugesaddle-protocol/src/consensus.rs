//! Messages between the replicas of the configuration, and what they store.

use gaugesaddle_delta::{DeltaError, Digest, DocumentDelta};
use musli::{Decode, Encode};
use std::fmt;
use std::net::Ipv4Addr;

/// One replica: a machine and the incarnation of its disk. A machine whose disk was lost is another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReplicaId {
    /// The machine's address.
    pub ip: u32,
    /// 0 for a founding replica, drawn at random for every other disk.
    pub incarnation: u64,
}

impl ReplicaId {
    /// The machine's address.
    pub fn address(self) -> Ipv4Addr {
        Ipv4Addr::from(self.ip)
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}#{:x}", self.address(), self.incarnation)
    }
}

/// Place of a state in the history: the leader's term, then a count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct LogPosition {
    /// Term of the leader that wrote it.
    pub term: u64,
    /// Rises by one with each state.
    pub index: u64,
}

/// A configuration that was accepted, for the answer to the same order sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Accepted {
    /// Its revision.
    pub revision: u64,
    /// Digest of the order: of the revision it builds on and its body, byte for byte.
    pub digest: Digest,
}

/// The replicated state, whole: each change replaces it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct State {
    /// Its place in the history.
    pub position: LogPosition,
    /// Revision of the configuration; 0 before the first.
    pub revision: u64,
    /// The configuration as the operator sent it.
    #[musli(bytes)]
    pub document: Vec<u8>,
    /// The newest accepted configurations, oldest first.
    pub accepted: Vec<Accepted>,
    /// The highest revision that is no longer among `accepted`: whether an order up to it was accepted is not known.
    pub forgotten: u64,
    /// The replicas that vote.
    pub voters: Vec<ReplicaId>,
    /// The voters before a change that is under way; empty between changes. Until it is over, every decision takes a
    /// majority of these as well (joint consensus).
    pub outgoing: Vec<ReplicaId>,
}

/// A document, for a receiver that may have an earlier version of it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum DocumentUpdate {
    /// The version that the receiver has.
    Unchanged,
    /// What makes it out of the version that the receiver has.
    Delta(DocumentDelta),
    /// All of it.
    Full(#[musli(bytes)] Vec<u8>),
}

impl DocumentUpdate {
    /// What brings a receiver with one version to another; `None`: it has none.
    pub fn between(base: Option<&[u8]>, document: &[u8]) -> DocumentUpdate {
        let Some(base) = base else { return DocumentUpdate::Full(document.to_vec()) };
        if base == document {
            return DocumentUpdate::Unchanged;
        }
        let patch = DocumentDelta::between(base, document);
        if patch.size() < document.len() {
            DocumentUpdate::Delta(patch)
        } else {
            DocumentUpdate::Full(document.to_vec())
        }
    }

    /// The document, where it can be made out of the version at hand.
    pub fn apply(self, base: Option<&[u8]>) -> Result<Vec<u8>, DeltaError> {
        match (self, base) {
            (DocumentUpdate::Full(document), _) => Ok(document),
            (DocumentUpdate::Unchanged, Some(base)) => Ok(base.to_vec()),
            (DocumentUpdate::Delta(patch), Some(base)) => patch.apply(base),
            (DocumentUpdate::Unchanged | DocumentUpdate::Delta(_), None) => Err(DeltaError::BaseMismatch),
        }
    }
}

/// A state on its way to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StateUpdate {
    /// The state that the receiver has and this one is told against; `None`: this one is told whole.
    pub base: Option<LogPosition>,
    /// Its place in the history.
    pub position: LogPosition,
    /// Revision of the configuration.
    pub revision: u64,
    /// The configuration.
    pub document: DocumentUpdate,
    /// The accepted configurations that the base does not have, oldest first.
    pub accepted: Vec<Accepted>,
    /// As in [`State`].
    pub forgotten: u64,
    /// As in [`State`].
    pub voters: Vec<ReplicaId>,
    /// As in [`State`].
    pub outgoing: Vec<ReplicaId>,
}

/// What a replica must not forget beside the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HardState {
    /// Who it is.
    pub id: ReplicaId,
    /// The newest term it has seen.
    pub term: u64,
    /// For whom it voted in that term.
    pub voted_for: Option<ReplicaId>,
}

/// A time on the steady clock of one process. Only the process that made it can read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClockReading {
    /// Drawn by the process at its start, so that a restarted one does not take an older one's mark for its own.
    pub process: u64,
    /// Milliseconds on its clock.
    pub time_ms: u64,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaMessage {
    /// Would you vote for me in this term?
    RequestPreVote {
        /// The term that would begin.
        term: u64,
        /// The candidate's newest state.
        last_position: LogPosition,
    },
    /// The answer to `RequestPreVote`.
    RequestPreVoteResponse {
        /// The term asked about, or a newer one where refused.
        term: u64,
        /// Whether the vote would be given.
        granted: bool,
    },
    /// A candidate asks for a vote.
    RequestVote {
        /// The candidate's term.
        term: u64,
        /// Its newest state.
        last_position: LogPosition,
        /// The leader itself asked this candidate to stand: voters need not wait until they miss that leader.
        leadership_transfer: bool,
    },
    /// The answer to `RequestVote`.
    RequestVoteResponse {
        /// The voter's term.
        term: u64,
        /// Whether the vote is given; it is on the voter's disk by then.
        granted: bool,
    },
    /// The leader's heartbeat, with its state where the receiver lacks it.
    Append {
        /// The leader's term.
        term: u64,
        /// Number of the heartbeat.
        sequence: u64,
        /// The leader's newest state.
        last_position: LogPosition,
        /// The newest state known to be on a majority of disks.
        committed: LogPosition,
        /// The state, where the receiver may lack it.
        state: Option<Box<StateUpdate>>,
        /// The newest mark that the receiver has sent to this leader: at that time of its own clock or later a majority
        /// followed this leader.
        echoed_reading: Option<ClockReading>,
    },
    /// The answer to `Append`.
    AppendResponse {
        /// The follower's term.
        term: u64,
        /// The heartbeat it answers.
        sequence: u64,
        /// The newest state of this term on its disk.
        matched: LogPosition,
        /// The newest state it has, on its disk or on the way there.
        received: LogPosition,
        /// When the follower took that heartbeat.
        clock_reading: ClockReading,
    },
    /// The leader ends its leadership and asks the receiver to stand at once.
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// A replica that is no voter asks the leader for states.
    Join {
        /// Whether it has a disk and wants to vote; without one it only listens.
        durable: bool,
    },
}
