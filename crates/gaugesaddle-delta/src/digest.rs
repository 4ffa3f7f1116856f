//! What tells versions of a document apart.

use musli::{Decode, Encode};

/// A digest of some bytes (the first half of their BLAKE3 hash): equal for equal bytes, and nobody finds two others with
/// the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// The digest of a document.
    pub fn of(document: &[u8]) -> Digest {
        Digest::of_parts(&[document])
    }

    /// The digest of several byte strings in a row.
    pub fn of_parts(parts: &[&[u8]]) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(part);
        }
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        Digest(digest)
    }
}
