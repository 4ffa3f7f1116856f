//! Connections to and from the other control processes.
//!
//! Each process opens one connection to every other process and only sends on it; messages in the other direction
//! arrive on the connection that the peer opened.

use crate::core::CoreHandle;
use crate::peer_queues::UnconnectedPeer;
use gaugesaddle_consensus::Input;
use gaugesaddle_protocol::frame::FrameError;
use gaugesaddle_protocol::{ConnectionPreface, PeerMessage};
use gaugesaddle_transport::{connect, Link, LinkError};
use spdlog::debug;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time-out for sending one message; sized for a large state over a slow link.
const SEND_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval between attempts to connect to a peer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a connection task for each peer that has none yet.
pub fn connect_new_peers(core: &CoreHandle) {
    for UnconnectedPeer { ip, messages } in core.with(|c| c.peers.take_unconnected()) {
        tokio::task::spawn_local(send_queued(core.clone(), ip, messages));
    }
}

/// Sends the messages queued for a peer, and reconnects after each error, until the process ends.
async fn send_queued(core: CoreHandle, ip: u32, mut messages: mpsc::Receiver<PeerMessage>) {
    loop {
        if let Err(e) = connect_and_send(&core, ip, &mut messages).await {
            let peer = Ipv4Addr::from(ip);
            debug!("connection to peer {peer} failed, reconnecting: {:#}", eyre::Report::new(e));
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
        // Queued messages are outdated: the state machines send newer ones.
        while messages.try_recv().is_ok() {}
    }
}

async fn connect_and_send(
    core: &CoreHandle, ip: u32, messages: &mut mpsc::Receiver<PeerMessage>,
) -> Result<(), LinkError> {
    let address = core.with(|c| c.boot.control_process_address(ip));
    let mut link = Link::new(connect(address, CONNECT_TIMEOUT).await?);
    link.send(&ConnectionPreface::Peer, SEND_TIMEOUT).await?;
    let (hello, compare) = core.with(|c| (c.hello(), c.compare(true)));
    link.send(&hello, SEND_TIMEOUT).await?;
    link.send(&compare, SEND_TIMEOUT).await?;
    while let Some(message) = messages.recv().await {
        link.set_compression(core.with(|c| c.peers.compression_of(ip)));
        link.send(&message, SEND_TIMEOUT).await?;
    }
    Ok(())
}

/// Receives messages on a connection that a peer opened, until it ends.
///
/// # Errors
///
/// The link failed, or the peer sent a malformed or unexpected message.
pub async fn receive(core: CoreHandle, mut link: Link) -> Result<(), LinkError> {
    let PeerMessage::Hello { ip, origin, members, features, .. } = link.receive().await? else {
        return Err(LinkError::Frame(FrameError::Unexpected));
    };
    core.with(|c| {
        c.add_peers(members.into_iter().chain([ip]));
        c.peers.set_features(ip, features.unwrap_or_default());
        c.catalog_replica.register_peer(ip, origin);
        // Deltas that the peer pushed while it was disconnected are lost; this summary has it push the missing changes.
        let compare = c.compare(false);
        c.peers.send(ip, compare);
    });
    connect_new_peers(&core);
    loop {
        let message = link.receive().await?;
        let is_current = core.with(|c| {
            let now = c.clock.now();
            c.catalog_replica.record_contact(now, ip, origin)
        });
        if !is_current {
            // The peer has been restarted: late messages of its previous process must not be attributed to the new one.
            return Ok(());
        }
        handle_message(&core, ip, message);
    }
}

fn handle_message(core: &CoreHandle, ip: u32, message: PeerMessage) {
    match message {
        PeerMessage::Replica { from, to, message } => {
            let own_id = core.with(|c| c.replica.as_ref().map(gaugesaddle_consensus::Replica::id));
            if to.is_none() || to == own_id {
                core.step(Input::Message { from, message });
            }
        }
        PeerMessage::Load(loads) => core.with(|c| {
            let now = c.clock.now();
            c.loads.record_sums(now, ip, loads);
        }),
        message => {
            if let PeerMessage::Compare { members, .. } = &message {
                core.with(|c| c.add_peers(members.iter().copied()));
                connect_new_peers(core);
            }
            core.handle_catalog_message(ip, message);
        }
    }
}
