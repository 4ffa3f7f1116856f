//! Suspicions (SWIM, section 4.2; Lifeguard, section IV.B): how they are raised, confirmed and timed out.

use super::Membership;
use crate::member_state::{MemberState, MemberStatus};
use crate::output::{Cause, Output};
use crate::suspicion::Suspicion;
use gaugesaddle_balancer::{Micros, Time};

impl Membership {
    /// Raises or confirms a suspicion: `suspecter`, which may be this process, received no acknowledgement from the
    /// member.
    pub(super) fn suspect(&mut self, now: Time, index: u16, suspecter: u16, out: &mut Vec<Output>) {
        let before = self.member(index).known;
        if self.member_mut(index).known.declare(MemberState::Suspect).is_some() {
            self.status_changed(now, index, before, Cause::ProbeFailed, out);
            return;
        }
        if let Some(status) = before.status().filter(|status| status.state == MemberState::Suspect) {
            self.confirm_suspicion(index, status, suspecter);
        }
    }

    /// Records that another member suspects as well, and disseminates this if it shortens the time-out.
    pub(super) fn confirm_suspicion(&mut self, index: u16, status: MemberStatus, suspecter: u16) {
        let Some(suspicion) = &mut self.member_mut(index).suspicion else { return };
        if suspicion.confirm(suspecter) {
            self.updates.add(index, status, suspecter);
        }
    }

    /// When the suspicions of all members have to be checked next.
    pub(super) fn next_suspicion_check_at(&self) -> Option<Time> {
        let deadlines = |index: &u16| [self.suspicion_deadline(*index), self.own_confirmation_at(*index)];
        self.suspects.iter().flat_map(deadlines).flatten().min()
    }

    /// When this process confirms a suspicion that another member raised, if it receives no datagram from the suspect
    /// until then: its own probe was sent at once, and half of the minimum time-out is enough for the acknowledgement.
    fn own_confirmation_at(&self, index: u16) -> Option<Time> {
        let suspicion = self.member(index).suspicion.as_ref()?;
        if suspicion.is_confirmed_by(self.config.own_index) {
            return None;
        }
        Some(suspicion.started_at() + Micros(self.settings.min_suspicion.0 / 2))
    }

    fn suspicion_deadline(&self, index: u16) -> Option<Time> {
        let suspicion = self.member(index).suspicion.as_ref()?;
        Some(suspicion.deadline(&self.settings, self.live_peers.saturating_sub(1)))
    }

    /// Confirms suspicions of other members and declares suspects dead whose suspicion has timed out, unless this
    /// process has received a datagram from them since the suspicion started.
    pub(super) fn check_suspicions(&mut self, now: Time, out: &mut Vec<Output>) {
        let to_confirm = self.suspects_due(now, |index| self.own_confirmation_at(index));
        for index in to_confirm {
            let member = self.member(index);
            let started_at = member.suspicion.as_ref().map(Suspicion::started_at);
            if member.last_received <= started_at {
                self.suspect(now, index, self.config.own_index, out);
            }
        }
        let timed_out = self.suspects_due(now, |index| self.suspicion_deadline(index));
        for index in timed_out {
            self.suspicion_timed_out(now, index, out);
        }
    }

    fn suspects_due(&self, now: Time, deadline: impl Fn(u16) -> Option<Time>) -> Vec<u16> {
        let is_due = |index: &u16| deadline(*index).is_some_and(|at| now >= at);
        self.suspects.iter().copied().filter(is_due).collect()
    }

    fn suspicion_timed_out(&mut self, now: Time, index: u16, out: &mut Vec<Output>) {
        let member = self.member_mut(index);
        if let (Some(suspicion), Some(received_at)) = (&mut member.suspicion, member.last_received) {
            if received_at > suspicion.started_at() {
                suspicion.postpone(received_at);
                return;
            }
        }
        let before = member.known;
        if member.known.declare(MemberState::Dead).is_some() {
            self.status_changed(now, index, before, Cause::SuspicionTimedOut, out);
        }
    }
}
