//! What the proxies that follow this control process know.

use crate::peers::PEER_RESPONSIVE_MS;
use gaugesaddle_protocol::{Origin, VersionVector};
use std::collections::BTreeMap;

/// Proxies that are kept in mind; more do not follow one process of the fleet designed for.
const MAX_PROXIES: usize = 4096;

/// The last call of a proxy.
#[derive(Clone, Debug)]
struct Call {
    at: u64,
    vector: VersionVector,
}

/// The proxies that called lately, by their identity.
#[derive(Clone, Debug, Default)]
pub struct ProxyTable {
    calls: BTreeMap<String, Call>,
}

impl ProxyTable {
    /// A proxy has called, and knows this much.
    pub fn called(&mut self, now: u64, id: &str, vector: &VersionVector) {
        self.calls.retain(|_, call| now < call.at + PEER_RESPONSIVE_MS);
        if self.calls.len() < MAX_PROXIES || self.calls.contains_key(id) {
            self.calls.insert(id.to_owned(), Call { at: now, vector: vector.clone() });
        }
    }

    /// A proxy leaves.
    pub fn left(&mut self, id: &str) {
        self.calls.remove(id);
    }

    /// Up to which change of an origin every proxy that called a moment ago knows them all; no bound where none did.
    pub fn all_know(&self, now: u64, origin: Origin) -> u64 {
        let lively = self.calls.values().filter(|call| now < call.at + PEER_RESPONSIVE_MS);
        lively.map(|call| call.vector.of(origin)).min().unwrap_or(u64::MAX)
    }
}
