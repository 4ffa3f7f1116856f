//! Limits the number of backends in a report or sum.

use crate::MAX_BACKENDS;
use gaugesaddle_protocol::BackendLoad;
use std::cmp::Reverse;

/// The at most [`MAX_BACKENDS`] loads with the most work; ties are broken by the number of failures.
pub fn heaviest(mut loads: Vec<BackendLoad>) -> Vec<BackendLoad> {
    if loads.len() > MAX_BACKENDS {
        loads.sort_unstable_by_key(|load| Reverse((load.work, load.failed)));
        loads.truncate(MAX_BACKENDS);
    }
    loads
}
