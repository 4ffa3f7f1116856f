//! Which backends keep a part of a prompt: rendezvous hashing, the same at every proxy without a message.

use gaugesaddle_balancer::mix;

/// The rank of a backend for a part; the highest keep it.
pub fn rank(part: u64, backend: u64) -> u64 {
    mix(mix(part) ^ backend)
}

/// A number for a backend's identity.
pub fn identity(id: &str) -> u64 {
    id.bytes().fold(0x9ae1_6a3b_2f90_404f, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// Indices of so many backends with the highest ranks, the highest first.
pub fn ranked(part: u64, backends: &[u64], count: usize) -> Vec<usize> {
    let mut ranked: Vec<(u64, usize)> =
        backends.iter().enumerate().map(|(index, backend)| (rank(part, *backend), index)).collect();
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Marks the `copies` highest ranks among backends.
pub fn warm(part: u64, backends: &[u64], copies: usize) -> Vec<bool> {
    let mut marks = vec![false; backends.len()];
    for index in ranked(part, backends, copies) {
        marks[index] = true;
    }
    marks
}
