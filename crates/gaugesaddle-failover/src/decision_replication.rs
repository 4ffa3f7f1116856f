//! Choice of the deciding proxy, and dissemination of its decisions.
//!
//! The live member with the lowest number decides. There is no agreement before a decision takes effect: each proxy follows
//! the newest decision that it has received, so neither a partition nor a lost decider stops traffic.
//!
//! Dissemination is epidemic, at a cost per proxy that does not grow with the tier:
//! - Each proxy that adopts a decision sends it to [`FANOUT`] random peers, [`TRANSMISSIONS`] times.
//! - Each proxy sends its current decision to one random peer every [`ANTI_ENTROPY_INTERVAL`]; a peer with a newer one
//!   answers with it. This repairs losses of the first step.

use crate::decision::{Decision, DecisionVersion};
use gaugesaddle_balancer::{mix, Micros, Time};
use std::collections::VecDeque;

/// Number of peers that each transmission of a newly adopted decision is sent to.
pub const FANOUT: usize = 4;
/// Number of transmissions of a newly adopted decision. With a third of the datagrams lost, about one proxy in several
/// thousand misses all of them.
pub const TRANSMISSIONS: u32 = 3;
/// Interval at which each proxy sends its current decision to one random peer.
pub const ANTI_ENTROPY_INTERVAL: Micros = Micros(500_000);
/// Number of decisions retained for diagnosis: some minutes of frequent changes.
pub const MAX_HISTORY: usize = 64;
/// Time between two transmissions of a newly adopted decision.
const TRANSMISSION_INTERVAL: Micros = Micros(100_000);
/// Minimum time between two decisions; the first decision is exempt.
const MIN_DECISION_INTERVAL: Micros = Micros(500_000);

/// This proxy's view of the tier's membership.
#[derive(Clone, Copy, Debug)]
pub struct MembershipView<'a> {
    /// Live members in ascending order, this proxy included.
    pub live: &'a [u16],
    /// The live members are more than half of those configured, or of those ever seen.
    pub has_majority: bool,
    /// This process has run without a stall for long enough to trust its view.
    pub is_current: bool,
}

/// An encoded decision for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiving member.
    pub to: u16,
    /// The encoded decision.
    pub bytes: Vec<u8>,
}

/// The decision that a proxy follows, with the time at which it was adopted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdoptedDecision {
    /// The decision.
    pub decision: Decision,
    /// Time of adoption on this proxy's clock.
    pub since: Time,
}

/// One proxy's replica of the tier's decision.
#[derive(Clone, Debug)]
pub struct DecisionReplica {
    member: u16,
    zones: usize,
    /// A plan whose figures differ from the current decision by up to this many 255ths does not replace it.
    tolerance: u8,
    /// Adopted decisions, the current one last; at most [`MAX_HISTORY`], the oldest is removed first.
    history: VecDeque<AdoptedDecision>,
    next_anti_entropy: Time,
    remaining_transmissions: u32,
    next_transmission: Time,
    random_state: u64,
}

impl DecisionReplica {
    /// A replica without a decision. `tolerance` is the difference, in 255ths, up to which a plan does not replace the
    /// current decision; `seed` determines the choice of peers.
    pub fn new(member: u16, zones: usize, tolerance: u8, seed: u64) -> DecisionReplica {
        DecisionReplica {
            member,
            zones,
            tolerance,
            history: VecDeque::new(),
            next_anti_entropy: Time(0),
            remaining_transmissions: 0,
            next_transmission: Time(0),
            random_state: seed,
        }
    }

    /// The decision in effect.
    pub fn current(&self) -> Option<&AdoptedDecision> {
        self.history.back()
    }

    /// The last [`MAX_HISTORY`] adopted decisions, the newest last.
    pub fn history(&self) -> impl Iterator<Item = &AdoptedDecision> {
        self.history.iter()
    }

    /// Whether this proxy decides for the members that it can reach.
    pub fn is_decider(&self, view: &MembershipView) -> bool {
        view.is_current && view.live.first() == Some(&self.member)
    }

    /// Advances the clock. `desired` is the decision that follows from this proxy's own assessment; the decider adopts it as
    /// a new decision where it differs from the current one. Appends messages to `out` and returns whether the current
    /// decision changed.
    pub fn tick(
        &mut self, now: Time, view: &MembershipView, desired: Option<&Decision>, out: &mut Vec<Outgoing>,
    ) -> bool {
        let decided = self.decide(now, view, desired);
        if decided {
            self.transmit(now, view, out);
        }
        if self.remaining_transmissions > 0 && now >= self.next_transmission {
            self.transmit(now, view, out);
        }
        if now >= self.next_anti_entropy {
            self.next_anti_entropy = now + ANTI_ENTROPY_INTERVAL;
            let peer = self.random_peers(view.live, 1).pop();
            if let (Some(to), Some(current)) = (peer, self.current()) {
                out.push(Outgoing { to, bytes: current.decision.encode() });
            }
        }
        decided
    }

    /// Handles a decision received from another member: adopts it where it supersedes the current one, answers with the
    /// current one where that is newer, and drops bytes that are not a decision. Returns whether it was adopted.
    pub fn receive(
        &mut self, now: Time, from: u16, bytes: &[u8], view: &MembershipView, out: &mut Vec<Outgoing>,
    ) -> bool {
        let Ok(decision) = Decision::decode(bytes, self.zones) else { return false };
        if let Some(AdoptedDecision { decision: current, .. }) = self.current() {
            if *current == decision {
                return false;
            }
            if !decision.supersedes(current) {
                out.push(Outgoing { to: from, bytes: current.encode() });
                return false;
            }
        }
        self.adopt(now, decision);
        self.transmit(now, view, out);
        true
    }

    /// Adopts the desired decision where this proxy decides, the difference exceeds the tolerance, and the last
    /// change is not too recent. A decision adopted from a former decider is kept until the next such difference.
    fn decide(&mut self, now: Time, view: &MembershipView, desired: Option<&Decision>) -> bool {
        let Some(desired) = desired.filter(|_| self.is_decider(view)) else { return false };
        if let Some(current) = self.current() {
            let is_unchanged = current.decision.is_within(desired, self.tolerance);
            let is_too_soon = now - current.since < MIN_DECISION_INTERVAL;
            if is_unchanged || is_too_soon {
                return false;
            }
        }
        let version = self.next_version(view);
        self.adopt(now, Decision { version, decider: self.member, ..desired.clone() });
        true
    }

    fn next_version(&self, view: &MembershipView) -> DecisionVersion {
        let current = self.current().map(|current| current.decision.version);
        let DecisionVersion { epoch, revision } = current.unwrap_or_default();
        if view.has_majority {
            DecisionVersion { epoch: epoch.saturating_add(1), revision: 0 }
        } else {
            DecisionVersion { epoch, revision: revision.saturating_add(1) }
        }
    }

    fn adopt(&mut self, now: Time, decision: Decision) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(AdoptedDecision { decision, since: now });
        self.remaining_transmissions = TRANSMISSIONS;
        self.next_transmission = now;
    }

    /// Sends the current decision to [`FANOUT`] random peers.
    fn transmit(&mut self, now: Time, view: &MembershipView, out: &mut Vec<Outgoing>) {
        self.remaining_transmissions = self.remaining_transmissions.saturating_sub(1);
        self.next_transmission = now + TRANSMISSION_INTERVAL;
        let Some(bytes) = self.current().map(|current| current.decision.encode()) else { return };
        let peers = self.random_peers(view.live, FANOUT);
        out.extend(peers.into_iter().map(|to| Outgoing { to, bytes: bytes.clone() }));
    }

    /// Up to `count` distinct random peers: the first steps of a Fisher-Yates shuffle.
    fn random_peers(&mut self, live: &[u16], count: usize) -> Vec<u16> {
        let mut peers: Vec<u16> = live.iter().copied().filter(|member| *member != self.member).collect();
        for i in 0..count.min(peers.len()) {
            self.random_state = mix(self.random_state.wrapping_add(1));
            let j = i + (self.random_state % (peers.len() - i) as u64) as usize;
            peers.swap(i, j);
        }
        peers.truncate(count);
        peers
    }
}

#[cfg(test)]
mod tests;
