//! Proposals and their results.

use gaugesaddle_protocol::Digest;

/// The document of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposedDocument {
    /// A complete document, independent of the current one.
    Full(Vec<u8>),
    /// A document computed by applying a patch to another one. It is accepted only on top of that very document.
    Patched {
        /// Digest of the document to which the patch was applied.
        base: Digest,
        /// The result.
        document: Vec<u8>,
    },
    /// The proposer did not have the revision to which the patch applies. The proposal is still recognized as a repetition
    /// of an accepted one and rejected like any other, but never accepted.
    Unavailable,
}

/// An operator's change, valid in itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The revision on which it builds; 0 before the first configuration.
    pub base: u64,
    /// The revision that it creates.
    pub revision: u64,
    /// Its document.
    pub content: ProposedDocument,
    /// Digest of base and request body. It identifies a repeated request.
    pub digest: Digest,
}

/// Prefix that separates the digests of patches from those of full documents.
const PATCH_DIGEST_PREFIX: &[u8] = b"edit";

impl Proposal {
    /// A proposal of a full document. Its identity is the request byte for byte: a document that differs only in
    /// formatting is another proposal.
    pub fn new(base: u64, revision: u64, document: Vec<u8>) -> Proposal {
        let digest = Digest::of_concatenation(&[&base.to_le_bytes(), &document]);
        Proposal { base, revision, content: ProposedDocument::Full(document), digest }
    }

    /// A proposal made out of a patch; `body` is the patch as the operator sent it.
    pub fn from_patch(base: u64, revision: u64, body: &[u8], content: ProposedDocument) -> Proposal {
        let digest = Digest::of_concatenation(&[PATCH_DIGEST_PREFIX, &base.to_le_bytes(), body]);
        Proposal { base, revision, content, digest }
    }

    /// The document that takes effect where `current` is in effect; `None` if the proposal does not apply to it.
    pub(crate) fn document_on(self, current: &[u8]) -> Option<Vec<u8>> {
        match self.content {
            ProposedDocument::Full(document) => Some(document),
            ProposedDocument::Patched { base, document } => (base == Digest::of(current)).then_some(document),
            ProposedDocument::Unavailable => None,
        }
    }
}

/// The result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// Durable on a quorum, now or by an earlier identical request.
    Committed,
    /// Rejected: it builds on another revision than the current one.
    Conflict {
        /// The current revision.
        current: u64,
    },
    /// Rejected: its revision is not above the current one.
    StaleRevision {
        /// The current revision.
        current: u64,
    },
    /// Unknown: this replica does not lead, lost its leadership, or no longer remembers requests of this age. The change may
    /// or may not take effect; the client repeats the same request.
    Indeterminate,
}

/// A proposal in the leader's queue, under the host's request number.
#[derive(Clone, Debug)]
pub(crate) struct QueuedProposal {
    pub request: u64,
    pub proposal: Proposal,
}
