//! Messages between the replicas of the configuration, and what they store.

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
pub struct Stamp {
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
    /// Digest of its body and of the revision it builds on.
    pub digest: u64,
}

/// The replicated state, whole: each change replaces it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct State {
    /// Its place in the history.
    pub stamp: Stamp,
    /// Revision of the configuration; 0 before the first.
    pub revision: u64,
    /// The configuration as the operator sent it.
    #[musli(bytes)]
    pub document: Vec<u8>,
    /// The newest accepted configurations, oldest first.
    pub accepted: Vec<Accepted>,
    /// The replicas that vote.
    pub voters: Vec<ReplicaId>,
}

/// What a replica must not forget beside the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Ballot {
    /// Who it is.
    pub me: ReplicaId,
    /// The newest term it has seen.
    pub term: u64,
    /// For whom it voted in that term.
    pub voted_for: Option<ReplicaId>,
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReplicaMessage {
    /// Would you vote for me in this term?
    PreVote {
        /// The term that would begin.
        term: u64,
        /// The candidate's newest state.
        last: Stamp,
    },
    /// The answer to `PreVote`.
    PreVoteReply {
        /// The term asked about, or a newer one where refused.
        term: u64,
        /// Whether the vote would be given.
        granted: bool,
    },
    /// A candidate asks for a vote.
    Vote {
        /// The candidate's term.
        term: u64,
        /// Its newest state.
        last: Stamp,
    },
    /// The answer to `Vote`.
    VoteReply {
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
        round: u64,
        /// The leader's newest state.
        at: Stamp,
        /// The newest state known to be on a majority of disks.
        committed: Stamp,
        /// The state, where the receiver may lack it.
        state: Option<Box<State>>,
    },
    /// The answer to `Append`.
    AppendReply {
        /// The follower's term.
        term: u64,
        /// The heartbeat it answers.
        round: u64,
        /// The newest state of this term on its disk.
        matched: Stamp,
    },
    /// A replica that is no voter asks the leader for states.
    Join {
        /// Whether it has a disk and wants to vote; without one it only listens.
        durable: bool,
    },
}
