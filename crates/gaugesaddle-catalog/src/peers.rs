//! What is known of the other control processes: which of them live, and which changes each has.

use gaugesaddle_protocol::{Origin, VersionVector};
use std::collections::{BTreeMap, BTreeSet};

/// A peer that says nothing for so long is taken for dead, in milliseconds.
pub const PEER_TIMEOUT_MS: u64 = 3500;
/// A peer or proxy that has said nothing for so long is not waited for, in milliseconds.
pub const PEER_RESPONSIVE_MS: u64 = 1300;

/// Another control process.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// When it spoke last.
    heard: Option<u64>,
    /// The process that runs there now.
    origin: Option<Origin>,
    /// What it has said that it and the proxies that follow it know.
    vector: VersionVector,
}

/// The other control processes, by the address of their machine.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<u32, Peer>,
}

impl PeerTable {
    /// A process has introduced itself. What an earlier one on that machine knew is gone with it.
    pub fn register_peer(&mut self, ip: u32, origin: Origin) {
        let peer = self.peers.entry(ip).or_default();
        if peer.origin != Some(origin) {
            *peer = Peer { heard: peer.heard, origin: Some(origin), vector: VersionVector::default() };
        }
    }

    /// The process that introduced itself as `origin` has spoken; false where another has taken its place since.
    pub fn record_contact(&mut self, now: u64, ip: u32, origin: Origin) -> bool {
        match self.peers.get_mut(&ip).filter(|p| p.origin == Some(origin)) {
            Some(peer) => {
                peer.heard = Some(now);
                true
            }
            None => false,
        }
    }

    /// The process that runs on a machine.
    pub fn origin_of(&self, ip: u32) -> Option<Origin> {
        self.peers.get(&ip).and_then(|p| p.origin)
    }

    /// The machine that a process runs on.
    pub fn machine_of(&self, origin: Origin) -> Option<u32> {
        self.peers.iter().find(|(_, p)| p.origin == Some(origin)).map(|(ip, _)| *ip)
    }

    /// A peer has said that it and its proxies know the changes of an origin up to a number.
    pub fn knows(&mut self, ip: u32, origin: Origin, change: u64) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.vector.advance(origin, change);
        }
    }

    /// Addresses of the peers that spoke lately.
    pub fn alive(&self, now: u64) -> Vec<u32> {
        self.speaking(now, PEER_TIMEOUT_MS).map(|(ip, _)| *ip).collect()
    }

    /// Origins of the peers that spoke lately.
    pub fn living_origins(&self, now: u64) -> BTreeSet<Origin> {
        self.speaking(now, PEER_TIMEOUT_MS).filter_map(|(_, peer)| peer.origin).collect()
    }

    /// How many peers have a change.
    pub fn holders(&self, origin: Origin, change: u64) -> usize {
        self.peers.values().filter(|p| p.has(origin, change)).count()
    }

    /// Whether every peer that spoke a moment ago has a change.
    pub fn all_responsive_have(&self, now: u64, origin: Origin, change: u64) -> bool {
        self.speaking(now, PEER_RESPONSIVE_MS).all(|(_, peer)| peer.has(origin, change))
    }

    fn speaking(&self, now: u64, silence: u64) -> impl Iterator<Item = (&u32, &Peer)> {
        self.peers.iter().filter(move |(_, p)| p.heard.is_some_and(|at| now < at + silence))
    }
}

impl Peer {
    fn has(&self, origin: Origin, change: u64) -> bool {
        self.vector.of(origin) >= change
    }
}
