//! Probes of live members (SWIM, section 3.1): one in each probe interval, in random order. If the acknowledgement is
//! late, other members are requested to probe (`indirect.rs`); if none arrives, the member becomes suspect.

use super::Membership;
use crate::member_state::MemberState;
use crate::output::Output;
use crate::schedule::{Probe, ProbePhase};
use crate::wire::Section;
use gaugesaddle_balancer::{Micros, Time};
use rand_core::RngCore;

/// Maximum number of records that one probe requests because they did not arrive from their owners.
const MAX_RECORD_REQUESTS: usize = 3;
/// A record that is older than this many publish cycles is overdue and is requested from other members.
const MISSED_CYCLES: u64 = 3;

impl Membership {
    /// Sends a probe, with the target's known status so that it can refute it. Returns the nonce.
    pub(super) fn send_probe(
        &mut self, now: Time, index: u16, record_requests: &[u16], out: &mut Vec<Output>,
    ) -> u32 {
        let nonce = self.rng.next_u32();
        let mut datagram = self.new_datagram(index);
        let member = self.member_mut(index);
        member.last_probed = Some(now);
        let status = member.known.status();
        let needs_hello = !member.has_our_hello;
        datagram.push(&Section::Ping { nonce, status });
        let with_hello = needs_hello && datagram.push(&self.hello());
        self.member_mut(index).open_probe(nonce, with_hello);
        for subject in record_requests {
            datagram.push(&Section::RecordRequest { subject: *subject });
        }
        self.add_updates(now, &mut datagram);
        self.send(index, datagram, out);
        nonce
    }

    /// Sends the ping of an open probe again.
    pub(super) fn resend_ping(&mut self, target: u16, nonce: u32, out: &mut Vec<Output>) {
        let status = self.member(target).known.status();
        let mut datagram = self.new_datagram(target);
        datagram.push(&Section::Ping { nonce, status });
        self.send(target, datagram, out);
    }

    /// Probes a member outside of the cycle, because its process is not verified or because it may refute its status.
    /// Sends at most one such probe within the acknowledgement time-out. If an earlier probe is still open, another
    /// member is requested to probe as well: one direction of the direct path may be broken.
    pub(super) fn probe_outside_cycle(&mut self, now: Time, index: u16, out: &mut Vec<Output>) {
        let member = self.member(index);
        if member.last_probed.is_some_and(|at| now - at < self.settings.ack_timeout) {
            return;
        }
        let had_open_probes = member.has_open_probes();
        let nonce = self.send_probe(now, index, &[], out);
        if had_open_probes {
            self.request_indirect_probes(now, 1, index, nonce, out);
        }
    }

    /// Records an acknowledgement, direct or forwarded. Returns `false` if no probe with this nonce is open.
    pub(super) fn probe_acked(&mut self, now: Time, index: u16, nonce: u32) -> bool {
        if !self.member_mut(index).close_probe(nonce) {
            return false;
        }
        self.probes.last_ack = now;
        let is_current = |probe: &Probe| probe.target == index && probe.nonce == nonce;
        if self.probes.current.as_ref().is_some_and(is_current) {
            self.probes.current = None;
            self.health.improve();
        }
        true
    }

    /// At the end of the probe interval: closes the current probe and starts the next one.
    pub(super) fn probe_next(&mut self, now: Time, out: &mut Vec<Output>) {
        if now < self.probes.next_at {
            return;
        }
        self.close_current_probe(now, out);
        self.probes.next_at = now + self.health.scale(self.settings.probe_interval);
        let Some(target) = self.next_target(now) else { return };
        let record_requests = self.missed_records(now, target);
        let nonce = self.send_probe(now, target, &record_requests, out);
        self.counters.probes += 1;
        self.probes.current =
            Some(Probe { target, nonce, sent_at: now, phase: ProbePhase::Direct, helpers: 0, receipts: 0 });
    }

    /// Closes the current probe if it has not been acknowledged by the end of its interval: it has failed.
    fn close_current_probe(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(probe) = self.probes.current.take() else { return };
        if !self.state(probe.target).is_live() {
            return;
        }
        self.counters.failed_probes += 1;
        if probe.helpers > 0 && probe.receipts == 0 {
            self.health.degrade(); // no helper received the request: the fault may be local
        }
        // A datagram that arrived since the probe shows that the member is alive, although its acknowledgement did not
        // arrive.
        let last_received = self.member(probe.target).last_received;
        if last_received.is_none_or(|at| at < probe.sent_at) {
            self.suspect(now, probe.target, self.config.own_index, out);
        }
    }

    fn next_target(&mut self, now: Time) -> Option<u16> {
        if self.counters.probes % 2 == 0 {
            if let Some(index) = self.least_recent_contact(now) {
                return Some(index);
            }
        }
        // If the cycle is complete, the second iteration takes a member from the next cycle.
        for _ in 0..2 {
            while let Some(index) = self.probes.remaining.pop() {
                if self.state(index).is_live() {
                    return Some(index);
                }
            }
            let mut cycle = self.live_peer_indices();
            self.shuffle(&mut cycle);
            self.probes.remaining = cycle;
        }
        None
    }

    /// The live member with the least recent contact, that is a received datagram or a probe, if this is longer ago
    /// than the age at which a record is overdue. Every second probe goes to it: a process that missed the update about
    /// a death would otherwise detect the death only in its own cycle.
    fn least_recent_contact(&self, now: Time) -> Option<u16> {
        let last_contact = |index: &u16| {
            let member = self.member(*index);
            let received = member.last_received.unwrap_or(member.state_since);
            received.max(member.last_probed.unwrap_or(Time(0)))
        };
        let longest = self.live_peer_indices().into_iter().min_by_key(last_contact)?;
        (now - last_contact(&longest) > self.record_overdue_after()).then_some(longest)
    }

    /// Up to [`MAX_RECORD_REQUESTS`] live members whose records are overdue and may be available from `target`.
    fn missed_records(&mut self, now: Time, target: u16) -> Vec<u16> {
        let overdue_after = self.record_overdue_after();
        let mut missed = self.live_peer_indices();
        missed.retain(|index| {
            let age = match self.records.get(*index) {
                Some(record) => record.age(now),
                None => now - self.member(*index).state_since,
            };
            *index != target && age > overdue_after
        });
        self.shuffle(&mut missed);
        missed.truncate(MAX_RECORD_REQUESTS);
        missed
    }

    fn record_overdue_after(&self) -> Micros {
        let cycle = self.publishing.last_cycle.max(self.settings.publish_interval);
        Micros(cycle.0 * MISSED_CYCLES)
    }

    /// Counts the receipt of a ping request if it belongs to the current probe.
    pub(super) fn count_receipt(&mut self, nonce: u32) {
        if let Some(probe) = self.probes.current.as_mut().filter(|probe| probe.nonce == nonce) {
            probe.receipts += 1;
        }
    }

    /// Whether the member has to be probed, so that it receives its status and can refute it. A departed member is not
    /// probed for this reason.
    pub(super) fn needs_refutation_probe(&self, index: u16) -> bool {
        matches!(self.state(index), MemberState::Suspect | MemberState::Dead)
    }
}
