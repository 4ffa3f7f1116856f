//! Connections to and from the other control processes.
//!
//! Each process opens one connection to every other and only sends on it; what the other says comes on the
//! connection that it opened. A queue that is full drops the message: every message is repeated or superseded.

use crate::core::CoreHandle;
use gaugesaddle_consensus::Input;
use gaugesaddle_protocol::{Opening, Origin, PeerMessage};
use gaugesaddle_transport::{connect, Link, LinkError};
use spdlog::debug;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::mpsc;

/// Messages that wait for a peer.
const QUEUE: usize = 256;
/// Peers that are known at once: the machines set aside for control, and those they replaced.
const MOST_PEERS: usize = 64;
/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Time to send one message; a large state over a slow link takes a while.
const SEND: Duration = Duration::from_millis(2500);
/// Between attempts to reach a peer.
const RETRY: Duration = Duration::from_millis(200);
/// A peer that says nothing for so long is taken for dead, in milliseconds.
pub const SILENCE: u64 = 3500;

/// What is known of another control process.
struct Peer {
    queue: mpsc::Sender<PeerMessage>,
    /// When it spoke last.
    heard: Option<u64>,
    origin: Option<Origin>,
    /// The newest change of this process that it has acknowledged.
    acknowledged: u64,
}

/// The other control processes, by the address of their machine.
#[derive(Default)]
pub struct Peers {
    peers: BTreeMap<u32, Peer>,
    wanted: Vec<(u32, mpsc::Receiver<PeerMessage>)>,
}

impl Peers {
    /// Makes a peer known; a connection to it is opened.
    pub fn know(&mut self, ip: u32) {
        if self.peers.contains_key(&ip) || self.peers.len() >= MOST_PEERS {
            return;
        }
        let (queue, messages) = mpsc::channel(QUEUE);
        self.peers.insert(ip, Peer { queue, heard: None, origin: None, acknowledged: 0 });
        self.wanted.push((ip, messages));
    }

    fn take_wanted(&mut self) -> Vec<(u32, mpsc::Receiver<PeerMessage>)> {
        std::mem::take(&mut self.wanted)
    }

    pub fn send(&mut self, ip: u32, message: PeerMessage) {
        if let Some(peer) = self.peers.get(&ip) {
            // A full queue: the peer hangs, and what it misses is sent again by whoever needs it.
            let _ = peer.queue.try_send(message);
        }
    }

    pub fn broadcast(&self, message: &PeerMessage) {
        for peer in self.peers.values() {
            let _ = peer.queue.try_send(message.clone());
        }
    }

    fn heard(&mut self, now: u64, ip: u32) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.heard = Some(now);
        }
    }

    fn introduced(&mut self, ip: u32, origin: Origin) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            if peer.origin != Some(origin) {
                peer.acknowledged = 0;
            }
            peer.origin = Some(origin);
        }
    }

    fn acknowledged(&mut self, ip: u32, change: u64) {
        if let Some(peer) = self.peers.get_mut(&ip) {
            peer.acknowledged = peer.acknowledged.max(change);
        }
    }

    /// Addresses of the peers that spoke lately.
    pub fn alive(&self, now: u64) -> Vec<u32> {
        let alive = |peer: &Peer| peer.heard.is_some_and(|at| now < at + SILENCE);
        self.peers.iter().filter(|(_, p)| alive(p)).map(|(ip, _)| *ip).collect()
    }

    /// Origins of the peers that spoke lately.
    pub fn living_origins(&self, now: u64) -> BTreeSet<Origin> {
        let alive = |peer: &&Peer| peer.heard.is_some_and(|at| now < at + SILENCE);
        self.peers.values().filter(alive).filter_map(|p| p.origin).collect()
    }

    /// How many peers that are not silent have not acknowledged a change, and how many peers have.
    pub fn acknowledgements(&self, now: u64, change: u64, silence: u64) -> (usize, usize) {
        let lively = |p: &&Peer| p.heard.is_some_and(|at| now < at + silence);
        let have = self.peers.values().filter(|p| p.acknowledged >= change).count();
        let lack = self.peers.values().filter(lively).filter(|p| p.acknowledged < change).count();
        (lack, have)
    }
}

/// Opens connections to peers as they become known.
pub fn open_wanted(core: &CoreHandle) {
    for (ip, messages) in core.with(|c| c.peers.take_wanted()) {
        tokio::task::spawn_local(speak(core.clone(), ip, messages));
    }
}

/// Keeps a connection to a peer and sends what is queued.
async fn speak(core: CoreHandle, ip: u32, mut messages: mpsc::Receiver<PeerMessage>) {
    let address = core.with(|c| c.boot.control_process(ip));
    loop {
        if let Err(e) = speak_once(&core, address, &mut messages).await {
            debug!("peer {address}: {e}");
        }
        tokio::time::sleep(RETRY).await;
        // What waited is older than what the state machines would say now.
        while messages.try_recv().is_ok() {}
    }
}

async fn speak_once(
    core: &CoreHandle, address: SocketAddrV4, messages: &mut mpsc::Receiver<PeerMessage>,
) -> Result<(), LinkError> {
    let mut link = Link::new(connect(address, CONNECT).await?);
    link.send(&Opening::Peer, SEND).await?;
    let (hello, compare) = core.with(|c| (c.hello(), c.compare(true)));
    link.send(&hello, SEND).await?;
    link.send(&compare, SEND).await?;
    while let Some(message) = messages.recv().await {
        link.send(&message, SEND).await?;
    }
    Ok(())
}

/// Takes what a peer says on the connection that it opened.
pub async fn listen(core: CoreHandle, mut link: Link) -> Result<(), LinkError> {
    let PeerMessage::Hello { ip, has_disk, founder, origin, members } = link.receive().await? else {
        return Err(LinkError::Frame(gaugesaddle_protocol::frame::FrameError::Malformed));
    };
    core.with(|c| {
        let own = u32::from(c.boot.ip);
        for known in members.into_iter().chain([ip]).filter(|ip| *ip != own) {
            c.peers.know(known);
        }
        c.peers.introduced(ip, origin);
    });
    core.heard_of_disk(ip, has_disk, founder);
    open_wanted(&core);
    loop {
        let message = link.receive().await?;
        core.with(|c| {
            let now = c.clock.now();
            c.peers.heard(now, ip);
        });
        take(&core, ip, message);
    }
}

fn take(core: &CoreHandle, ip: u32, message: PeerMessage) {
    match message {
        PeerMessage::Hello { has_disk, founder, .. } => core.heard_of_disk(ip, has_disk, founder),
        PeerMessage::Replica { from, to, message } => {
            if to.is_none() || to == core.with(|c| c.replica.as_ref().map(|r| r.id())) {
                core.step(Input::Message { from, message });
            }
        }
        PeerMessage::Push(delta) => {
            let told = delta.vector.clone();
            core.merge(delta);
            core.with(|c| {
                for (origin, change) in told.0 {
                    c.peers.send(ip, PeerMessage::Acknowledge { origin, change });
                }
            });
        }
        PeerMessage::Acknowledge { origin, change } => core.with(|c| {
            if origin == c.origin {
                c.peers.acknowledged(ip, change);
            }
        }),
        PeerMessage::Compare { vector, digests } => core.with(|c| {
            let lacks = c.catalog.has_news_for(&vector);
            let delta = if lacks {
                c.catalog.delta(&vector)
            } else if c.catalog.differs_from(&digests) {
                c.catalog.repair(&digests)
            } else {
                return;
            };
            c.peers.send(ip, PeerMessage::Push(delta));
        }),
    }
}

impl crate::core::Core {
    pub fn hello(&self) -> PeerMessage {
        let now = self.clock.now();
        let mut members = self.peers.alive(now);
        members.push(u32::from(self.boot.ip));
        PeerMessage::Hello {
            ip: u32::from(self.boot.ip),
            has_disk: self.has_disk,
            founder: self.founding.named(),
            origin: self.origin,
            members,
        }
    }

    /// What a peer needs to know to push what is lacking here.
    pub fn compare(&self, with_ranges: bool) -> PeerMessage {
        let digests = if with_ranges { self.catalog.digests() } else { Vec::new() };
        PeerMessage::Compare { vector: self.catalog.vector().clone(), digests }
    }
}
