//! Cache affinity: which backends cache a prompt's prefix.
//!
//! Rendezvous hashing (Thaler and Ravishankar, 1998) gives the same ranking at every proxy without communication, and
//! removing a backend moves only the prefixes that it cached.

use gaugesaddle_balancer::mix;

/// Initial value of the hash in [`identity`].
const IDENTITY_SEED: u64 = 0x9ae1_6a3b_2f90_404f;

/// The rank of a backend for a prefix. The backends with the highest ranks cache the prefix.
pub fn rank(prefix: u64, backend: u64) -> u64 {
    mix(mix(prefix) ^ backend)
}

/// The hash of an ID, such as a backend's.
pub fn identity(id: &str) -> u64 {
    id.bytes().fold(IDENTITY_SEED, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// Indices of the `count` backends with the highest ranks, in descending order of rank.
pub fn ranked(prefix: u64, backends: &[u64], count: usize) -> Vec<usize> {
    let with_rank = |(index, backend): (usize, &u64)| (rank(prefix, *backend), index);
    let mut ranked: Vec<(u64, usize)> = backends.iter().enumerate().map(with_rank).collect();
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// For each backend, whether it is among the `count` backends with the highest ranks.
pub fn is_among_highest(prefix: u64, backends: &[u64], count: usize) -> Vec<bool> {
    let mut is_among = vec![false; backends.len()];
    for index in ranked(prefix, backends, count) {
        is_among[index] = true;
    }
    is_among
}
