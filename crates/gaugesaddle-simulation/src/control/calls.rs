//! Calls of proxies, backends and operators.

use super::{ControlProcess, PendingPull, PendingRegistration, Waiter};
use crate::network::Node;
use crate::packet::{Answer, Call, Packet, RegistrationOutcome};
use crate::Millis;
use gaugesaddle_catalog::{Acknowledgement, AcknowledgementDecision};
use gaugesaddle_consensus::{Input, NotLeader, Replica};
use gaugesaddle_distribution::ReplicaStatus;
use gaugesaddle_protocol::{ChangeReply, ConfigurationChange, PeerMessage, Pull, Registration};

/// Timeout of a change or read.
const ANSWER_TIMEOUT_MS: Millis = 900;
/// Maximum time for which a pull waits for changes (long polling).
const MAX_PULL_WAIT_MS: Millis = 2000;

/// Where an operator's call is handled.
enum Route {
    /// At this process: it leads, or the call was forwarded to it.
    Local,
    /// At the leader, by the address of its machine.
    Leader(u32),
    /// Nowhere: no leader is known.
    NoLeader,
}

impl ControlProcess {
    pub(super) fn receive_call(&mut self, now: Millis, caller: Node, call_id: u64, call: Call) {
        let waiter = Waiter { caller, call_id, deadline: now + ANSWER_TIMEOUT_MS };
        match call {
            Call::Pull(pull) => self.receive_pull(now, waiter, pull),
            Call::Heartbeat(registration) => self.register(now, waiter, *registration),
            Call::Deregister(id) => match self.catalog_replica.departure_of(&id) {
                Some(registration) => self.register(now, waiter, registration),
                None => self.answer(waiter, Answer::Registered(RegistrationOutcome::NotAcknowledged)),
            },
            Call::Change(change) => self.receive_change(now, waiter, *change),
            Call::Read => self.receive_read(now, waiter),
        }
    }

    fn receive_pull(&mut self, now: Millis, waiter: Waiter, mut pull: Box<Pull>) {
        for (ip, message) in self.catalog_replica.record_pull(self.clock(now), &pull) {
            self.send_to_peer(ip, message);
        }
        self.record(now, pull.proxy.clone());
        let departed = std::mem::take(&mut pull.departed);
        for delta in self.catalog_replica.record_departed(self.clock(now), departed) {
            self.send_to_all_peers(&PeerMessage::Push(delta));
        }
        let deadline = now + Millis::from(pull.wait_ms).min(MAX_PULL_WAIT_MS);
        self.pending_pulls.push(PendingPull { waiter: Waiter { deadline, ..waiter }, pull });
        self.has_changes = true;
    }

    fn record(&mut self, now: Millis, registration: Registration) {
        let clock = self.clock(now);
        if let Some(delta) = self.catalog_replica.record(clock, registration) {
            self.send_to_all_peers(&PeerMessage::Push(delta));
            self.has_changes = true;
        }
    }

    fn register(&mut self, now: Millis, waiter: Waiter, registration: Registration) {
        let acknowledgement = Acknowledgement::new(self.clock(now), &registration);
        self.record(now, registration);
        self.pending_registrations.push(PendingRegistration { waiter, acknowledgement });
    }

    fn route(&self, caller: Node) -> Route {
        let is_forwarded = matches!(caller, Node::Control(_));
        match self.leader() {
            None => Route::NoLeader,
            // A call is forwarded at most once: if this process no longer leads, its replica rejects the call.
            Some(leader) if leader.ip == self.ip || is_forwarded => Route::Local,
            Some(leader) => Route::Leader(leader.ip),
        }
    }

    fn forward(&mut self, leader_ip: u32, waiter: Waiter, call: Call) {
        self.next_number += 1;
        let id = self.next_number;
        self.forwarded.insert(id, waiter);
        self.effects.packets.push((Node::Control(leader_ip), Packet::Call { id, call }));
    }

    fn receive_change(&mut self, now: Millis, waiter: Waiter, change: ConfigurationChange) {
        match self.route(waiter.caller) {
            Route::Local => self.propose(now, waiter, change),
            Route::Leader(ip) => self.forward(ip, waiter, Call::Change(Box::new(change))),
            Route::NoLeader => self.answer(waiter, Answer::Change(ChangeReply::Indeterminate)),
        }
    }

    fn propose(&mut self, now: Millis, waiter: Waiter, change: ConfigurationChange) {
        let committed = self.replica.as_ref().and_then(Replica::committed);
        // Simulated documents have no services, so the resulting full document is not validated.
        let accept_any = |_: &[u8]| Ok(());
        match gaugesaddle_consensus::change::proposal(change, committed, accept_any) {
            Ok(proposal) => {
                let number = self.add_pending(waiter);
                self.step(now, Input::Propose(number, Box::new(proposal)));
            }
            Err(_) => self.answer(waiter, Answer::Change(ChangeReply::Invalid { findings: Vec::new() })),
        }
    }

    fn receive_read(&mut self, now: Millis, waiter: Waiter) {
        match self.route(waiter.caller) {
            Route::Local => {
                let number = self.add_pending(waiter);
                self.step(now, Input::Read(number));
            }
            Route::Leader(ip) => self.forward(ip, waiter, Call::Read),
            Route::NoLeader => self.answer(waiter, Answer::Read(Err(NotLeader))),
        }
    }

    fn add_pending(&mut self, waiter: Waiter) -> u64 {
        self.next_number += 1;
        self.pending.insert(self.next_number, waiter);
        self.next_number
    }

    /// Answers the calls whose deadline has passed with an indeterminate change. The caller of a read ignores this
    /// answer and times out.
    pub(super) fn expire_waiters(&mut self, now: Millis) {
        let mut expired = Vec::new();
        for waiters in [&mut self.pending, &mut self.forwarded] {
            expired.extend(waiters.values().filter(|waiter| now >= waiter.deadline).copied());
            waiters.retain(|_, waiter| now < waiter.deadline);
        }
        for waiter in expired {
            self.answer(waiter, Answer::Change(ChangeReply::Indeterminate));
        }
    }

    /// Answers the pending registrations that are decided and the pending pulls that are due or have changes.
    pub(super) fn answer_pending(&mut self, now: Millis) {
        let clock = self.clock(now);
        let fresh = self.is_fresh(now);
        let voters = self.replica.as_ref().map_or(0, |replica| replica.voters().len());
        for pending in std::mem::take(&mut self.pending_registrations) {
            let outcome = match pending.acknowledgement.decide(clock, &self.catalog_replica, fresh, voters) {
                AcknowledgementDecision::Acknowledge => RegistrationOutcome::Acknowledged,
                AcknowledgementDecision::Reject => RegistrationOutcome::NotAcknowledged,
                AcknowledgementDecision::Wait => {
                    self.pending_registrations.push(pending);
                    continue;
                }
            };
            self.answer(pending.waiter, Answer::Registered(outcome));
        }
        let has_changes = std::mem::take(&mut self.has_changes);
        for pending in std::mem::take(&mut self.pending_pulls) {
            let is_due = now >= pending.waiter.deadline;
            if is_due || has_changes && self.distributor.has_changes(&self.catalog_replica, &pending.pull) {
                self.answer_pull(now, pending);
            } else {
                self.pending_pulls.push(pending);
            }
        }
    }

    fn answer_pull(&mut self, now: Millis, pending: PendingPull) {
        let status = ReplicaStatus {
            fresh: self.is_fresh(now),
            leader: self.leader().map(|leader| leader.ip),
            members: self.members(now),
        };
        if status.fresh {
            let position = self.distributor.current().map(|configuration| configuration.position);
            self.effects.fresh_answers.push(position);
        }
        let reply = self.distributor.answer(self.clock(now), &self.catalog_replica, &pending.pull, status);
        self.answer(pending.waiter, Answer::Pull(Box::new(reply)));
    }
}
