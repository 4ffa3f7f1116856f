//! The proxies that pull from this control process, and which changes each of them has.

use crate::peers::PEER_RESPONSIVE_MS;
use gaugesaddle_protocol::{Origin, VersionVector};
use std::collections::BTreeMap;

/// Maximum number of proxies: in the largest supported fleet, fewer pull from one process.
const MAX_PROXIES: usize = 4096;

/// The last pull of a proxy.
#[derive(Clone, Debug)]
struct LastPull {
    at_ms: u64,
    vector: VersionVector,
}

/// The proxies that pulled within [`PEER_RESPONSIVE_MS`], by their identity. Older entries are removed with the next
/// pull of any proxy.
#[derive(Clone, Debug, Default)]
pub struct ProxyTable {
    pulls: BTreeMap<String, LastPull>,
}

impl ProxyTable {
    /// Records a pull at `now` (milliseconds) of a proxy that has the changes of `vector`.
    pub fn record_pull(&mut self, now: u64, id: &str, vector: &VersionVector) {
        self.pulls.retain(|_, pull| now < pull.at_ms + PEER_RESPONSIVE_MS);
        if self.pulls.len() < MAX_PROXIES || self.pulls.contains_key(id) {
            self.pulls.insert(id.to_owned(), LastPull { at_ms: now, vector: vector.clone() });
        }
    }

    /// Removes a proxy that leaves.
    pub fn remove(&mut self, id: &str) {
        self.pulls.remove(id);
    }

    /// The number up to which all responsive proxies have the changes of an origin; `u64::MAX` without responsive
    /// proxies.
    pub fn known_by_all(&self, now: u64, origin: Origin) -> u64 {
        let responsive = self.pulls.values().filter(|pull| now < pull.at_ms + PEER_RESPONSIVE_MS);
        responsive.map(|pull| pull.vector.of(origin)).min().unwrap_or(u64::MAX)
    }
}
