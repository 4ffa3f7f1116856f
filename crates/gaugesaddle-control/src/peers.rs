//! Connections to and from the other control processes.
//!
//! Each process opens one connection to every other and only sends on it; what the other says comes on the
//! connection that it opened. A queue that is full drops the message: every message is repeated or superseded.

use crate::core::CoreHandle;
use gaugesaddle_consensus::Input;
use gaugesaddle_protocol::{Opening, PeerMessage};
use gaugesaddle_transport::{connect, Link, LinkError};
use spdlog::debug;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::sync::mpsc;

/// Messages that wait for a peer.
const QUEUE: usize = 256;
/// Peers that are known at once: the machines set aside for control, and those they replaced.
const MAX_PEERS: usize = 64;
/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Time to send one message; a large state over a slow link takes a while.
const SEND: Duration = Duration::from_millis(2500);
/// Between attempts to reach a peer.
const RETRY: Duration = Duration::from_millis(200);

/// What waits to be sent to the other control processes, by the address of their machine.
#[derive(Default)]
pub struct Peers {
    queues: BTreeMap<u32, mpsc::Sender<PeerMessage>>,
    wanted: Vec<(u32, mpsc::Receiver<PeerMessage>)>,
}

impl Peers {
    /// Makes a peer known; a connection to it is opened.
    pub fn know(&mut self, ip: u32) {
        if self.queues.contains_key(&ip) || self.queues.len() >= MAX_PEERS {
            return;
        }
        let (queue, messages) = mpsc::channel(QUEUE);
        self.queues.insert(ip, queue);
        self.wanted.push((ip, messages));
    }

    fn take_wanted(&mut self) -> Vec<(u32, mpsc::Receiver<PeerMessage>)> {
        std::mem::take(&mut self.wanted)
    }

    pub fn send(&mut self, ip: u32, message: PeerMessage) {
        if let Some(queue) = self.queues.get(&ip) {
            // A full queue: the peer hangs, and what it misses is sent again by whoever needs it.
            let _ = queue.try_send(message);
        }
    }

    pub fn broadcast(&self, message: &PeerMessage) {
        for queue in self.queues.values() {
            let _ = queue.try_send(message.clone());
        }
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
    let PeerMessage::Hello { ip, has_disk, bootstrap_node, origin, members } = link.receive().await? else {
        return Err(LinkError::Frame(gaugesaddle_protocol::frame::FrameError::Malformed));
    };
    core.with(|c| {
        c.know(members.into_iter().chain([ip]));
        c.catalog_replica.register_peer(ip, origin);
        // What was pushed while the peer could not be reached is lost; it pushes what is lacking here.
        let compare = c.compare(false);
        c.peers.send(ip, compare);
    });
    core.heard_of_disk(ip, has_disk, bootstrap_node);
    open_wanted(&core);
    loop {
        let message = link.receive().await?;
        let present = core.with(|c| {
            let now = c.clock.now();
            c.catalog_replica.record_contact(now, ip, origin)
        });
        if !present {
            // Another process runs there by now: what is left of the one before it would be taken for its word.
            return Ok(());
        }
        take(&core, ip, message);
    }
}

fn take(core: &CoreHandle, ip: u32, message: PeerMessage) {
    match message {
        PeerMessage::Hello { has_disk, bootstrap_node, .. } => {
            core.heard_of_disk(ip, has_disk, bootstrap_node)
        }
        PeerMessage::Replica { from, to, message } => {
            if to.is_none() || to == core.with(|c| c.replica.as_ref().map(|r| r.id())) {
                core.step(Input::Message { from, message });
            }
        }
        PeerMessage::Load(loads) => core.with(|c| {
            let now = c.clock.now();
            c.loads.record_sums(now, ip, loads);
        }),
        message => {
            if let PeerMessage::Compare { members, .. } = &message {
                core.with(|c| c.know(members.iter().copied()));
                open_wanted(core);
            }
            core.take_of_catalog(ip, message);
        }
    }
}

impl crate::core::Core {
    pub fn hello(&self) -> PeerMessage {
        let now = self.clock.now();
        PeerMessage::Hello {
            ip: u32::from(self.boot.ip),
            has_disk: self.has_disk,
            bootstrap_node: self.bootstrap.named(),
            origin: self.catalog_replica.origin(),
            members: self.members(now),
        }
    }

    /// Makes machines known that serve control.
    fn know(&mut self, members: impl Iterator<Item = u32>) {
        let own = u32::from(self.boot.ip);
        for member in members.filter(|ip| *ip != own) {
            self.peers.know(member);
        }
    }

    /// What this process knows, for the others.
    pub fn compare(&self, with_ranges: bool) -> PeerMessage {
        let now = self.clock.now();
        self.catalog_replica.compare(with_ranges, self.members(now))
    }

    /// Addresses of the machines that serve control, this one included.
    pub fn members(&self, now: u64) -> Vec<u32> {
        let mut members = self.catalog_replica.peers().alive(now);
        members.push(u32::from(self.boot.ip));
        members
    }
}
