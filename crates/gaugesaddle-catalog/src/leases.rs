//! Leases of the registrations that this control process has accepted.

use std::collections::BTreeMap;

/// The last call of a registered process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastHeartbeat {
    /// When, in milliseconds.
    pub at: u64,
    /// Its sequence number.
    pub sequence: u64,
}

/// The last call of each registered process.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    heard: BTreeMap<String, LastHeartbeat>,
}

impl Leases {
    /// Notes a call; false where a later one is known.
    pub fn renew(&mut self, now: u64, id: &str, sequence: u64) -> bool {
        if let Some(heard) = self.heard.get_mut(id) {
            if sequence < heard.sequence {
                return false;
            }
            *heard = LastHeartbeat { at: now, sequence };
            return true;
        }
        self.heard.insert(id.to_owned(), LastHeartbeat { at: now, sequence });
        true
    }

    /// Ends a lease.
    pub fn release(&mut self, id: &str) {
        self.heard.remove(id);
    }

    /// Whether a process is known here.
    pub fn holds(&self, id: &str) -> bool {
        self.heard.contains_key(id)
    }

    /// Ends the leases that were not renewed within `lease` milliseconds.
    pub fn expire(&mut self, now: u64, lease: u64) -> Vec<(String, LastHeartbeat)> {
        let ended = |heard: &LastHeartbeat| now >= heard.at + lease;
        let expired: Vec<(String, LastHeartbeat)> =
            self.heard.iter().filter(|(_, h)| ended(h)).map(|(id, h)| (id.clone(), *h)).collect();
        self.heard.retain(|_, heard| !ended(heard));
        expired
    }
}
