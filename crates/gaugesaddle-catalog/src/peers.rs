//! The other control processes: which of them are alive, and which changes each has acknowledged.

use gaugesaddle_protocol::{Origin, VersionVector};
use std::collections::{BTreeMap, BTreeSet};

/// Time without a message after which a peer is considered dead, in milliseconds.
pub const PEER_TIMEOUT_MS: u64 = 3500;
/// Time without a message after which a peer or proxy is no longer responsive, in milliseconds: acknowledgements do not
/// wait for it.
pub const PEER_RESPONSIVE_MS: u64 = 1300;

/// Another control process.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// When its last message arrived, in milliseconds.
    last_contact_ms: Option<u64>,
    /// The process that runs there now.
    origin: Option<Origin>,
    /// The changes that it has acknowledged for itself and the proxies that pull from it.
    vector: VersionVector,
}

/// The other control processes, by the IPv4 address of their machine. It has one entry for each machine that has run a
/// control process.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<u32, Peer>,
}

impl PeerTable {
    /// Registers the process that runs on a machine. The acknowledgements of an earlier process there are dropped,
    /// since the catalog was lost with that process.
    pub fn register_peer(&mut self, ip: u32, origin: Origin) {
        let peer = self.peers.entry(ip).or_default();
        if peer.origin != Some(origin) {
            peer.origin = Some(origin);
            peer.vector = VersionVector::default();
        }
    }

    /// Records a message of the process `origin` at `now` (milliseconds); false where another process has been
    /// registered on that machine since.
    pub fn record_contact(&mut self, now: u64, ip: u32, origin: Origin) -> bool {
        let Some(peer) = self.peers.get_mut(&ip) else { return false };
        if peer.origin != Some(origin) {
            return false;
        }
        peer.last_contact_ms = Some(now);
        true
    }

    /// The process that runs on a machine.
    pub fn origin_of(&self, ip: u32) -> Option<Origin> {
        self.peers.get(&ip).and_then(|peer| peer.origin)
    }

    /// The machine that a process runs on.
    pub fn machine_of(&self, origin: Origin) -> Option<u32> {
        self.peers.iter().find(|(_, peer)| peer.origin == Some(origin)).map(|(ip, _)| *ip)
    }

    /// Records that a peer and its proxies have the changes of an origin up to a number.
    pub fn record_acknowledged(&mut self, ip: u32, origin: Origin, change: u64) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.vector.advance(origin, change);
        }
    }

    /// Addresses of the peers with a message within [`PEER_TIMEOUT_MS`].
    pub fn alive(&self, now: u64) -> Vec<u32> {
        self.contacted_within(now, PEER_TIMEOUT_MS).map(|(ip, _)| *ip).collect()
    }

    /// Origins of the peers with a message within [`PEER_TIMEOUT_MS`].
    pub fn alive_origins(&self, now: u64) -> BTreeSet<Origin> {
        self.contacted_within(now, PEER_TIMEOUT_MS).filter_map(|(_, peer)| peer.origin).collect()
    }

    /// How many peers have acknowledged a change.
    pub fn acknowledged_count(&self, origin: Origin, change: u64) -> usize {
        self.peers.values().filter(|peer| peer.has(origin, change)).count()
    }

    /// Whether every peer with a message within [`PEER_RESPONSIVE_MS`] has acknowledged a change.
    pub fn all_responsive_have(&self, now: u64, origin: Origin, change: u64) -> bool {
        self.contacted_within(now, PEER_RESPONSIVE_MS).all(|(_, peer)| peer.has(origin, change))
    }

    fn contacted_within(&self, now: u64, timeout_ms: u64) -> impl Iterator<Item = (&u32, &Peer)> {
        let is_recent = move |peer: &Peer| peer.last_contact_ms.is_some_and(|at| now < at + timeout_ms);
        self.peers.iter().filter(move |(_, peer)| is_recent(peer))
    }
}

impl Peer {
    fn has(&self, origin: Origin, change: u64) -> bool {
        self.vector.of(origin) >= change
    }
}
