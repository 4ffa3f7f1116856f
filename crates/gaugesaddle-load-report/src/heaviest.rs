//! The bound on reports and sums.

use crate::MAX_BACKENDS;
use gaugesaddle_protocol::BackendLoad;
use std::cmp::Reverse;

/// At most [`MAX_BACKENDS`] loads: those with the most work, at equal work those with the most failures.
pub fn heaviest(mut loads: Vec<BackendLoad>) -> Vec<BackendLoad> {
    if loads.len() > MAX_BACKENDS {
        loads.sort_unstable_by_key(|load| Reverse((load.work, load.failed)));
        loads.truncate(MAX_BACKENDS);
    }
    loads
}
