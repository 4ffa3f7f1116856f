//! Messages between control processes, and the maintenance loop.

use super::ControlProcess;
use crate::network::Node;
use crate::packet::{Packet, Sender};
use crate::Millis;
use gaugesaddle_consensus::{Input, Replica};
use gaugesaddle_protocol::{Origin, PeerMessage};
use rand_pcg::rand_core::RngCore;

/// Interval of the maintenance loop.
pub(super) const MAINTENANCE_INTERVAL_MS: Millis = 1000;

impl ControlProcess {
    /// Opens connections to all known peers.
    pub fn connect_to_peers(&mut self, now: Millis) {
        for ip in self.known_peers.clone() {
            self.send_hello(now, ip);
        }
    }

    fn sender(&self) -> Sender {
        Sender { incarnation: self.incarnation, origin: self.catalog_replica.origin() }
    }

    fn send_hello(&mut self, now: Millis, ip: u32) {
        let packet = Packet::Hello { sender: self.sender(), members: self.members(now) };
        self.effects.packets.push((Node::Control(ip), packet));
        let compare = self.catalog_replica.compare(true, self.members(now));
        self.send_to_peer(ip, compare);
    }

    pub(super) fn members(&self, now: Millis) -> Vec<u32> {
        let mut members = self.catalog_replica.peers().alive(self.clock(now));
        members.push(self.ip);
        members
    }

    pub(super) fn add_peers(&mut self, members: Vec<u32>) {
        self.known_peers.extend(members.into_iter().filter(|ip| *ip != self.ip));
    }

    pub(super) fn send_to_peer(&mut self, ip: u32, message: PeerMessage) {
        let packet = Packet::Peer { sender: self.sender(), message: Box::new(message) };
        self.effects.packets.push((Node::Control(ip), packet));
    }

    pub(super) fn send_to_all_peers(&mut self, message: &PeerMessage) {
        for ip in self.known_peers.clone() {
            self.send_to_peer(ip, message.clone());
        }
    }

    /// Registers a peer's process on its first message, and sends it a hello, since its connection is new.
    pub(super) fn register_peer(&mut self, now: Millis, ip: u32, sender: Sender) {
        if self.peer_incarnations.get(&ip).is_some_and(|known| *known >= sender.incarnation) {
            return;
        }
        self.peer_incarnations.insert(ip, sender.incarnation);
        self.known_peers.insert(ip);
        self.catalog_replica.register_peer(ip, sender.origin);
        self.send_hello(now, ip);
    }

    pub(super) fn receive_peer_message(
        &mut self, now: Millis, ip: u32, origin: Origin, message: PeerMessage,
    ) {
        let clock = self.clock(now);
        if !self.catalog_replica.record_contact(clock, ip, origin) {
            // The message is from a former process of that machine.
            return;
        }
        if let PeerMessage::Replica { from, to, message } = message {
            if to.is_none() || to == self.replica.as_ref().map(Replica::id) {
                self.step(now, Input::Message { from, message });
            }
            return;
        }
        if let PeerMessage::Compare { members, .. } = &message {
            self.add_peers(members.clone());
        }
        let outcome = self.catalog_replica.apply(clock, ip, message);
        self.has_changes |= outcome.changed;
        for response in outcome.responses {
            self.send_to_peer(ip, response);
        }
    }

    /// One iteration of the maintenance loop: expires leases and compares catalogs with the peers.
    pub(super) fn maintain(&mut self, now: Millis) {
        self.maintenance_at = now + MAINTENANCE_INTERVAL_MS;
        let clock = self.clock(now);
        for delta in self.catalog_replica.expire(clock) {
            self.send_to_all_peers(&PeerMessage::Push(delta));
            self.has_changes = true;
        }
        let compare = self.catalog_replica.compare(false, self.members(now));
        self.send_to_all_peers(&compare);
        let alive = self.catalog_replica.peers().alive(clock);
        if !alive.is_empty() {
            let random_peer = alive[self.random.next_u64() as usize % alive.len()];
            let compare = self.catalog_replica.compare(true, self.members(now));
            self.send_to_peer(random_peer, compare);
        }
    }
}
