//! Leases of the registrations that this control process has accepted.

use std::collections::BTreeMap;

/// The newest heartbeat of a registered process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastHeartbeat {
    /// When it arrived, in milliseconds of the monotonic clock.
    pub at_ms: u64,
    /// Its sequence number.
    pub sequence: u64,
}

/// A lease that has run out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpiredLease {
    /// Identity of the registered process.
    pub id: String,
    /// Its newest heartbeat.
    pub last_heartbeat: LastHeartbeat,
}

/// The newest heartbeat of each registered process. A process leaves the table when its lease expires.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    last_heartbeats: BTreeMap<String, LastHeartbeat>,
}

impl Leases {
    /// Records a heartbeat at `now` (milliseconds); false where one with a higher sequence is known.
    pub fn renew(&mut self, now: u64, id: &str, sequence: u64) -> bool {
        let heartbeat = LastHeartbeat { at_ms: now, sequence };
        if let Some(last) = self.last_heartbeats.get_mut(id) {
            if sequence < last.sequence {
                return false;
            }
            *last = heartbeat;
            return true;
        }
        self.last_heartbeats.insert(id.to_owned(), heartbeat);
        true
    }

    /// Removes and returns the leases that were not renewed within `lease_ms` milliseconds.
    pub fn expire(&mut self, now: u64, lease_ms: u64) -> Vec<ExpiredLease> {
        let mut expired = Vec::new();
        self.last_heartbeats.retain(|id, last| {
            let is_live = now < last.at_ms + lease_ms;
            if !is_live {
                expired.push(ExpiredLease { id: id.clone(), last_heartbeat: *last });
            }
            is_live
        });
        expired
    }
}
