//! What waits at a replica: proposals, reads, and messages that may only go out after a write.

use gaugesaddle_protocol::{ClockReading, Configuration, Digest, ReplicaId, ReplicaMessage};

/// Number of a write; they complete in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteId(pub u64);

/// What a proposal brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposedDocument {
    /// A document that stands for itself.
    Full(Vec<u8>),
    /// A document that was made out of another one: it is taken only on top of that very one.
    Edited {
        /// Digest of the document that it was made out of.
        base: Digest,
        /// The document.
        document: Vec<u8>,
    },
    /// Nothing could be made, since its proposer did not have the document that the order builds on. It is known again
    /// and refused like others, and never taken.
    Unavailable,
}

/// An operator's change, valid in itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The revision it builds on.
    pub base: u64,
    /// The revision it brings.
    pub revision: u64,
    /// What it brings.
    pub content: ProposedDocument,
    /// Digest of base and body, for knowing the order again.
    pub digest: Digest,
}

/// Sets the digests of edits apart from those of whole documents.
const EDIT: &[u8] = b"edit";

impl Proposal {
    /// An order is what was sent, byte for byte: a document that only means the same is another order.
    pub fn new(base: u64, revision: u64, document: Vec<u8>) -> Proposal {
        let digest = Digest::of_parts(&[&base.to_le_bytes(), &document]);
        Proposal { base, revision, content: ProposedDocument::Full(document), digest }
    }

    /// An order to edit the document of a revision; `body` is what was sent.
    pub fn edit(base: u64, revision: u64, body: &[u8], content: ProposedDocument) -> Proposal {
        let digest = Digest::of_parts(&[EDIT, &base.to_le_bytes(), body]);
        Proposal { base, revision, content, digest }
    }

    /// The document that it brings, on top of another one.
    pub(crate) fn document_on(self, current: &[u8]) -> Option<Vec<u8>> {
        match self.content {
            ProposedDocument::Full(document) => Some(document),
            ProposedDocument::Edited { base, document } => (base == Digest::of(current)).then_some(document),
            ProposedDocument::Unavailable => None,
        }
    }
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// On a majority of disks, now or earlier.
    Committed,
    /// Builds on another revision than the current one.
    Conflict {
        /// The current revision.
        current: u64,
    },
    /// Its revision does not rise.
    StaleRevision {
        /// The current revision.
        current: u64,
    },
    /// This replica does not lead or ceased to, or the order is too old to know whether it was taken.
    Indeterminate,
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
    pub sequence: u64,
    pub answer: Confirmed,
}

/// What may go out only after a write.
#[derive(Clone, Debug)]
pub(crate) enum PendingOnSync {
    Send(ReplicaId, ReplicaMessage),
    AppendResponse {
        to: ReplicaId,
        term: u64,
        sequence: u64,
        clock_reading: ClockReading,
    },
    /// Ask for votes in this term.
    Campaign {
        term: u64,
        leadership_transfer: bool,
    },
}
