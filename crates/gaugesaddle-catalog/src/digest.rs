//! Range digests: two catalogs compare one number per range and exchange only the ranges that differ.

use gaugesaddle_balancer::mix;
use gaugesaddle_protocol::{Lifecycle, Registration};

/// Number of ranges that identities are divided into by their hash.
pub const RANGES: usize = 16;

/// Start value of the hash: the offset basis of FNV-1a (64 bits).
const HASH_SEED: u64 = 0xcbf2_9ce4_8422_2325;

/// The range of an identity, below [`RANGES`].
pub fn range_of(id: &str) -> usize {
    range_of_hash(hash(id))
}

/// The digest of each range, over the ready registrations. It covers their identities only, since the sequence rises
/// with every heartbeat although the registration does not change otherwise.
pub fn of<'a>(registrations: impl Iterator<Item = &'a Registration>) -> Vec<u64> {
    let mut digests = vec![0; RANGES];
    for registration in registrations {
        if registration.lifecycle != Lifecycle::Ready {
            // Processes drop these at different times, so the digest does not cover them.
            continue;
        }
        let id_hash = hash(&registration.id);
        digests[range_of_hash(id_hash)] ^= mix(id_hash.wrapping_add(1));
    }
    digests
}

fn range_of_hash(hash: u64) -> usize {
    (hash % RANGES as u64) as usize
}

fn hash(id: &str) -> u64 {
    id.bytes().fold(HASH_SEED, |hash, byte| mix(hash ^ u64::from(byte)))
}
