//! Outgoing message queues, one for each other control process.

use gaugesaddle_protocol::frame::Compression;
use gaugesaddle_protocol::{PeerMessage, FEATURE_COMPRESSION};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// Capacity of a queue, in messages.
const QUEUE_CAPACITY: usize = 256;
/// Maximum number of peers: the machines reserved for the control plane, and those that they replaced.
const MAX_PEERS: usize = 64;

/// A peer for which no connection task has been started yet.
#[derive(Debug)]
pub struct UnconnectedPeer {
    /// Address of its machine.
    pub ip: u32,
    /// Receiving end of its queue.
    pub messages: mpsc::Receiver<PeerMessage>,
}

/// Queues of messages to the other control processes, by the address of their machine.
///
/// A message to a full queue is dropped, since its sender repeats or supersedes every message.
#[derive(Default)]
pub struct PeerQueues {
    queues: BTreeMap<u32, mpsc::Sender<PeerMessage>>,
    /// Features of those peers that have announced any.
    features: BTreeMap<u32, u32>,
    unconnected: Vec<UnconnectedPeer>,
}

impl PeerQueues {
    /// Adds a peer, unless it is known or there are [`MAX_PEERS`] already.
    pub fn add(&mut self, ip: u32) {
        if self.queues.contains_key(&ip) || self.queues.len() >= MAX_PEERS {
            return;
        }
        let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
        self.queues.insert(ip, queue);
        self.unconnected.push(UnconnectedPeer { ip, messages });
    }

    /// Records the features that a peer announces; ignored for a machine that is no peer.
    pub fn set_features(&mut self, ip: u32, features: u32) {
        if self.queues.contains_key(&ip) {
            self.features.insert(ip, features);
        }
    }

    /// Whether a peer reads compressed messages.
    pub fn compression_of(&self, ip: u32) -> Compression {
        let features = self.features.get(&ip).copied().unwrap_or_default();
        if features & FEATURE_COMPRESSION == 0 {
            Compression::Unsupported
        } else {
            Compression::Supported
        }
    }

    /// Removes and returns the peers that need a connection task.
    pub fn take_unconnected(&mut self) -> Vec<UnconnectedPeer> {
        std::mem::take(&mut self.unconnected)
    }

    /// Queues a message to one peer.
    pub fn send(&mut self, ip: u32, message: PeerMessage) {
        if let Some(queue) = self.queues.get(&ip) {
            // The queue is full if the peer hangs; the sender of a dropped message repeats it if it is still needed.
            let _ = queue.try_send(message);
        }
    }

    /// Queues a message to every peer.
    pub fn broadcast(&self, message: &PeerMessage) {
        for queue in self.queues.values() {
            let _ = queue.try_send(message.clone());
        }
    }
}
