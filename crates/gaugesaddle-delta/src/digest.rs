//! Digests that identify versions of a document.

use musli::{Decode, Encode};

/// The first 128 bits of a BLAKE3 hash: equal for equal bytes, and collision-resistant for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// The digest of a document.
    pub fn of(document: &[u8]) -> Digest {
        Digest::of_concatenation(&[document])
    }

    /// The digest of the concatenation of several byte strings. The boundaries between the strings are not part of the
    /// digest: callers that need them pass strings of fixed length before the last one.
    pub fn of_concatenation(strings: &[&[u8]]) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for string in strings {
            hasher.update(string);
        }
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        Digest(digest)
    }
}
