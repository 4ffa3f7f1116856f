//! What waits at a replica: proposals, reads, and messages that may only go out after a write.

use gaugesaddle_protocol::{Configuration, Digest, Mark, ReplicaId, ReplicaMessage};

/// Number of a write; they complete in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TicketId(pub u64);

/// An operator's change, valid in itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The revision it builds on.
    pub base: u64,
    /// The revision it brings.
    pub revision: u64,
    /// The document.
    pub document: Vec<u8>,
    /// Digest of base and document, for knowing the order again.
    pub digest: Digest,
}

impl Proposal {
    /// An order is what was sent, byte for byte: a document that only means the same is another order.
    pub fn new(base: u64, revision: u64, document: Vec<u8>) -> Proposal {
        let digest = Digest::of_parts(&[&base.to_le_bytes(), &document]);
        Proposal { base, revision, document, digest }
    }
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// On a majority of disks, now or earlier.
    Taken,
    /// Builds on another revision than the current one.
    Conflict {
        /// The current revision.
        current: u64,
    },
    /// Its revision does not rise.
    NotAbove {
        /// The current revision.
        current: u64,
    },
    /// This replica does not lead or ceased to, or the order is too old to know whether it was taken.
    Unclear,
}

/// An answer that holds only if this replica still led when it was asked.
#[derive(Clone, Debug)]
pub(crate) enum Confirmed {
    Read(u64, Option<Configuration>),
    Proposal(u64, ProposalResult),
}

/// What waits for a heartbeat round of a majority.
#[derive(Clone, Debug)]
pub(crate) struct Confirming {
    pub round: u64,
    pub answer: Confirmed,
}

/// What may go out only after a write.
#[derive(Clone, Debug)]
pub(crate) enum AfterWrite {
    Send(ReplicaId, ReplicaMessage),
    AppendReply {
        to: ReplicaId,
        term: u64,
        round: u64,
        mark: Mark,
    },
    /// Ask for votes in this term.
    Campaign {
        term: u64,
        handover: bool,
    },
}
