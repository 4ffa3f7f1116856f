//! Indirect probes (SWIM, section 3.1): if the direct acknowledgement is late, some members are requested to probe, and
//! the ping is sent twice more.

use super::Membership;
use crate::member_state::MemberState;
use crate::output::Output;
use crate::schedule::{Probe, ProbePhase};
use crate::wire::Section;
use gaugesaddle_balancer::Time;

impl Membership {
    /// When the current probe enters its next phase.
    pub(super) fn next_probe_phase_at(&self) -> Option<Time> {
        let probe = self.probes.current.as_ref()?;
        match probe.phase {
            ProbePhase::Direct => Some(self.ack_deadline(probe)),
            ProbePhase::Indirect => Some(self.repeat_at(probe)),
            ProbePhase::Repeated => None,
        }
    }

    fn ack_deadline(&self, probe: &Probe) -> Time {
        probe.sent_at + self.health.scale(self.settings.ack_timeout)
    }

    /// Half way from the indirect probes to the end of the probe interval.
    fn repeat_at(&self, probe: &Probe) -> Time {
        Time((self.ack_deadline(probe).0 + self.probes.next_at.0) / 2)
    }

    /// If the direct acknowledgement is late: requests indirect probes and sends the ping again.
    pub(super) fn probe_indirectly(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(probe) = &self.probes.current else { return };
        if probe.phase != ProbePhase::Direct || now < self.ack_deadline(probe) {
            return;
        }
        let (target, nonce) = (probe.target, probe.nonce);
        let max_helpers = self.settings.indirect_probes as usize;
        let helpers = self.request_indirect_probes(now, max_helpers, target, nonce, out);
        if let Some(probe) = &mut self.probes.current {
            probe.phase = ProbePhase::Indirect;
            probe.helpers = helpers;
        }
        self.resend_ping(target, nonce, out);
    }

    /// Sends the ping a third time, with half of the time after the indirect probes left for its acknowledgement.
    pub(super) fn repeat_probe(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(probe) = &self.probes.current else { return };
        if probe.phase != ProbePhase::Indirect || now < self.repeat_at(probe) {
            return;
        }
        let (target, nonce) = (probe.target, probe.nonce);
        if let Some(probe) = &mut self.probes.current {
            probe.phase = ProbePhase::Repeated;
        }
        self.resend_ping(target, nonce, out);
    }

    /// Requests up to `max_helpers` random members that are alive to probe `target`. Returns their number.
    pub(super) fn request_indirect_probes(
        &mut self, now: Time, max_helpers: usize, target: u16, nonce: u32, out: &mut Vec<Output>,
    ) -> usize {
        let mut helpers = self.peer_indices(|state| state == MemberState::Alive);
        helpers.retain(|index| *index != target);
        self.shuffle(&mut helpers);
        helpers.truncate(max_helpers);
        let status = self.member(target).known.status();
        for helper in &helpers {
            let mut datagram = self.new_datagram(*helper);
            datagram.push(&Section::PingRequest { target, nonce, status });
            self.add_updates(now, &mut datagram);
            self.send(*helper, datagram, out);
        }
        helpers.len()
    }
}
