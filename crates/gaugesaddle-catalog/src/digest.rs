//! Range digests: two catalogs compare a few numbers, and pass on only the ranges that differ.

use gaugesaddle_balancer::mix;
use gaugesaddle_protocol::{Lifecycle, Registration};

/// Ranges that identities are divided into.
pub const RANGES: usize = 16;

/// The range of an identity.
pub fn range_of(id: &str) -> usize {
    (hash(id) % RANGES as u64) as usize
}

/// The digest of each range, over what is ready: by its identity only, for its sequence rises without news.
pub fn of<'a>(registrations: impl Iterator<Item = &'a Registration>) -> Vec<u64> {
    let mut digests = vec![0; RANGES];
    for registration in registrations {
        if registration.lifecycle != Lifecycle::Ready {
            // Forgotten at different times by different processes.
            continue;
        }
        let id = hash(&registration.id);
        digests[(id % RANGES as u64) as usize] ^= mix(id.wrapping_add(1));
    }
    digests
}

fn hash(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| mix(hash ^ u64::from(byte)))
}
