//! Messages between the replicas of the configuration (Raft), and what the replicas store.

use gaugesaddle_delta::{DeltaError, Digest, DocumentDelta};
use musli::{Decode, Encode};
use std::fmt;
use std::net::Ipv4Addr;

/// Identity of a replica: a machine and the incarnation of its disk. A machine whose disk was lost is another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReplicaId {
    /// The machine's IPv4 address, network order.
    pub ip: u32,
    /// 0 for a bootstrap replica, random for every other disk.
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

/// Position of a state in the history: the leader's term, then an index. Positions are ordered in this way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct LogPosition {
    /// Term of the leader that wrote it.
    pub term: u64,
    /// Rises by one with each state.
    pub index: u64,
}

/// Record of an accepted change, by which a repetition of the same request is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AcceptedChange {
    /// The revision that it created.
    pub revision: u64,
    /// Digest of the request: of its base revision and its body, byte for byte.
    pub digest: Digest,
}

/// The replicated state: one value that each change replaces.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct State {
    /// Its position in the history.
    pub position: LogPosition,
    /// Revision of the configuration; 0 before the first.
    pub revision: u64,
    /// The configuration, byte for byte as the operator sent it.
    #[musli(bytes)]
    pub document: Vec<u8>,
    /// The newest accepted changes, oldest first.
    pub accepted: Vec<AcceptedChange>,
    /// The highest revision that was dropped from `accepted`. Whether a change up to it was accepted is not known.
    pub pruned_revision: u64,
    /// The replicas that vote.
    pub voters: Vec<ReplicaId>,
    /// The voters before a membership change that is under way; empty between changes. Until it is complete, every
    /// decision needs a majority of these as well (joint consensus, thesis 4.3).
    pub outgoing: Vec<ReplicaId>,
}

/// A document, for a receiver that may have an earlier version of it.
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
    /// The smallest update for a receiver that has `base`; `None` where it has no version.
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

    /// The document, given the version at hand.
    ///
    /// # Errors
    ///
    /// A [`DeltaError`], where the update needs another version than `base`.
    pub fn apply(self, base: Option<&[u8]>) -> Result<Vec<u8>, DeltaError> {
        match (self, base) {
            (DocumentUpdate::Full(document), _) => Ok(document),
            (DocumentUpdate::Unchanged, Some(base)) => Ok(base.to_vec()),
            (DocumentUpdate::Delta(delta), Some(base)) => delta.apply(base),
            (DocumentUpdate::Unchanged | DocumentUpdate::Delta(_), None) => Err(DeltaError::BaseMismatch),
        }
    }
}

/// A state on its way to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StateUpdate {
    /// The state against which this one is encoded; `None` for a full state.
    pub base: Option<LogPosition>,
    /// Its position in the history.
    pub position: LogPosition,
    /// Revision of the configuration.
    pub revision: u64,
    /// The configuration.
    pub document: DocumentUpdate,
    /// The accepted changes that the base does not have, oldest first.
    pub accepted: Vec<AcceptedChange>,
    /// As in [`State`].
    pub pruned_revision: u64,
    /// As in [`State`].
    pub voters: Vec<ReplicaId>,
    /// As in [`State`].
    pub outgoing: Vec<ReplicaId>,
}

/// What a replica must persist beside the state (thesis 3.8).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HardState {
    /// The replica's identity.
    pub id: ReplicaId,
    /// The newest term it has seen.
    pub term: u64,
    /// The candidate that received its vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// A time on the steady clock of one process. Only that process can interpret it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ClockReading {
    /// Random number of the process, so that a restarted one does not mistake its predecessor's reading for its own.
    pub process: u64,
    /// Milliseconds on its clock.
    pub time_ms: u64,
}

/// A message from one replica to another. The names are those of the thesis; terms are as in its figure 3.1.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaMessage {
    /// Requests a pre-vote: whether the receiver would vote for the sender in this term (thesis 9.6).
    RequestPreVote {
        /// The term that the candidate would enter.
        term: u64,
        /// The candidate's newest state.
        last_position: LogPosition,
    },
    /// The answer to `RequestPreVote`.
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
        /// Its newest state.
        last_position: LogPosition,
        /// The leader itself caused this campaign: voters need not wait until that leader has timed out.
        leadership_transfer: bool,
    },
    /// The answer to `RequestVote`.
    RequestVoteResponse {
        /// The voter's term.
        term: u64,
        /// Whether the vote is granted; it is durable then.
        granted: bool,
    },
    /// The leader's heartbeat, with its state if the receiver lacks it (thesis 3.5).
    Append {
        /// The leader's term.
        term: u64,
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// The leader's newest state.
        last_position: LogPosition,
        /// The newest committed state that the leader knows of.
        committed: LogPosition,
        /// The newest state, if the receiver may lack it.
        state: Option<Box<StateUpdate>>,
        /// The newest clock reading that the receiver has sent to this leader: a majority followed this leader at that
        /// time on the receiver's clock, or later.
        echoed_reading: Option<ClockReading>,
    },
    /// The answer to `Append`.
    AppendResponse {
        /// The follower's term.
        term: u64,
        /// The heartbeat to which it responds.
        sequence: u64,
        /// The newest state of this term that is durable there; position 0 of term 0 without any.
        matched: LogPosition,
        /// The newest state that it has received, durable or not.
        received: LogPosition,
        /// When the follower received that heartbeat.
        clock_reading: ClockReading,
    },
    /// The leader ends its leadership; the receiver campaigns at once (thesis 3.10).
    TimeoutNow {
        /// The leader's term.
        term: u64,
    },
    /// A replica that does not vote requests states from the leader and becomes a learner (thesis 4.2.1).
    Join {
        /// Whether it has a disk and may become a voter.
        durable: bool,
    },
}
