//! Proposals and their results.

use gaugesaddle_protocol::Digest;

/// The document of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposedDocument {
    /// A complete document, independent of the current one.
    Full(Vec<u8>),
    /// A document computed by applying a patch to another one. It is accepted only if that other document is still the
    /// current one.
    Patched {
        /// Digest of the document to which the patch was applied.
        base: Digest,
        /// The resulting document.
        document: Vec<u8>,
    },
    /// The proposer did not have the base revision of the patch. The proposal can still be recognized as a repeated
    /// request, or be rejected like any other, but it is never accepted.
    Unavailable,
}

/// A configuration change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The revision to which the change applies; 0 before the first configuration.
    pub base: u64,
    /// The revision that the change creates.
    pub revision: u64,
    /// The proposed document.
    pub content: ProposedDocument,
    /// Digest of the base revision and the request body. It identifies repeated requests.
    pub digest: Digest,
}

/// Prefix that separates the digests of patches from those of full documents.
const PATCH_DIGEST_PREFIX: &[u8] = b"edit";

impl Proposal {
    /// A proposal of a full document. Its digest covers the request byte for byte, so that a document that differs only
    /// in formatting is a different proposal.
    pub fn new(base: u64, revision: u64, document: Vec<u8>) -> Proposal {
        let digest = Digest::of_concatenation(&[&base.to_le_bytes(), &document]);
        Proposal { base, revision, content: ProposedDocument::Full(document), digest }
    }

    /// A proposal that results from a patch; `body` is the request body of the operator.
    pub fn from_patch(base: u64, revision: u64, body: &[u8], content: ProposedDocument) -> Proposal {
        let digest = Digest::of_concatenation(&[PATCH_DIGEST_PREFIX, &base.to_le_bytes(), body]);
        Proposal { base, revision, content, digest }
    }

    /// The document that results from the proposal on top of `current`; `None` if the proposal does not apply to
    /// `current`.
    pub(crate) fn resulting_document(self, current: &[u8]) -> Option<Vec<u8>> {
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
    /// The change is durable on a quorum, through this request or an earlier identical one.
    Committed,
    /// Rejected: the base is not the current revision.
    Conflict {
        /// The current revision.
        current: u64,
    },
    /// Rejected: the proposed revision is not greater than the current one.
    StaleRevision {
        /// The current revision.
        current: u64,
    },
    /// The outcome is unknown: this replica is not the leader, has lost its leadership, or no longer has the records of
    /// requests of this age, or the patch was applied to a document other than the current one. The change may or may
    /// not take effect; the client should repeat the same request.
    Indeterminate,
}

/// A proposal in the leader's queue, with the host's request number.
#[derive(Clone, Debug)]
pub(crate) struct QueuedProposal {
    pub request: u64,
    pub proposal: Proposal,
}
