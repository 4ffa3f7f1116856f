//! Whether and when a call of a backend may be acknowledged.

use crate::{CatalogReplica, ReplicationStatus};
use gaugesaddle_protocol::Registration;

/// News of an end is held for the acknowledgements of the other processes for so long, in milliseconds: its caller goes
/// elsewhere after a second.
const SPREAD: u64 = 600;

/// A backend's call that waits for its answer.
///
/// An acknowledged end starts a clock at every proxy, so it is given only where all lively processes have the news, a
/// majority at least, and by a process that is still in touch with a majority when it answers: one that was cut off
/// meanwhile may have told nobody but others that are cut off with it.
#[derive(Clone, Debug)]
pub struct Acknowledgement {
    id: String,
    /// It announces an end.
    leaving: bool,
    until: u64,
}

impl Acknowledgement {
    /// Of a call that the registrar has noted.
    pub fn new(now: u64, registration: &Registration) -> Acknowledgement {
        let leaving = registration.lifecycle.is_leaving();
        Acknowledgement { id: registration.id.clone(), leaving, until: now + SPREAD }
    }

    /// When it is decided at the latest.
    pub fn until(&self) -> u64 {
        self.until
    }

    /// `Some(true)`: acknowledge; `Some(false)`: another process should be called; `None`: wait. `fresh` tells whether
    /// this process was in touch with a majority of so many voters a moment ago.
    pub fn decide(
        &self, now: u64, catalog_replica: &CatalogReplica, fresh: bool, voters: usize,
    ) -> Option<bool> {
        if !fresh {
            return Some(false);
        }
        if !self.leaving {
            return Some(true);
        }
        match catalog_replica.spread(now, &self.id, voters) {
            ReplicationStatus::Full => Some(true),
            spread if now >= self.until => Some(spread == ReplicationStatus::Majority),
            _ => None,
        }
    }
}
