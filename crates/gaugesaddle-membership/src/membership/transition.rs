//! Changes of members' states: updates, acknowledgements, refutations, conflicts about an index, and the end of the
//! retention time.

use super::{ConflictReports, Membership};
use crate::member::CONFLICT_WINDOW;
use crate::member_state::{Boot, KnownMember, MemberState, MemberStatus, UpdateResult};
use crate::output::{Cause, Output, Transition};
use crate::suspicion::Suspicion;
use gaugesaddle_balancer::{Micros, Time};

/// If other members report another process at this index for longer than this, that process is live: otherwise they
/// would have accepted this process by now.
const CONFLICT_TOLERANCE: Micros = Micros(3_000_000);

impl Membership {
    /// Applies an update about another member. Returns `true` if it concerns a process that should be probed.
    pub(super) fn apply_update(
        &mut self, now: Time, index: u16, update: MemberStatus, cause: Cause, out: &mut Vec<Output>,
    ) -> bool {
        let before = self.member(index).known;
        match self.member_mut(index).known.apply(update) {
            UpdateResult::Applied => self.status_changed(now, index, before, cause, out),
            UpdateResult::Stale => {}
            UpdateResult::ProbeNeeded => return true,
        }
        false
    }

    /// Applies the acknowledgement of a probe of this process.
    pub(super) fn apply_ack(
        &mut self, now: Time, index: u16, boot: Boot, incarnation: u32, out: &mut Vec<Output>,
    ) {
        let before = self.member(index).known;
        if self.member_mut(index).known.apply_ack(boot, incarnation) != UpdateResult::Applied {
            return;
        }
        if before.boot() != Some(boot) {
            self.member_mut(index).reset_process();
            if before.boot().is_some() {
                self.process_changed(now, index, out);
            }
            self.records.remove(index);
        }
        self.status_changed(now, index, before, Cause::ProbeAcked, out);
    }

    /// Records that the process at an index changed, or that two processes acknowledged one probe. Several of these
    /// events within a short time are an index conflict, not a restart.
    pub(super) fn process_changed(&mut self, now: Time, index: u16, out: &mut Vec<Output>) {
        let member = self.member_mut(index);
        let was_in_conflict = member.is_in_conflict(now);
        member.record_process_change(now);
        if member.is_in_conflict(now) && !was_in_conflict {
            out.push(Output::IndexConflict { index });
        }
    }

    /// Checks an update about this process and refutes it if it is wrong.
    pub(super) fn refute(&mut self, now: Time, update: MemberStatus, out: &mut Vec<Output>) {
        if update.boot != self.local.boot && update.state.is_live() {
            self.conflicting_process_reported(now, out);
        }
        if !self.local.refute(update) {
            return;
        }
        self.counters.refutations += 1;
        if update.boot == self.local.boot {
            self.health.degrade();
        }
        let own_index = self.config.own_index;
        self.updates.add(own_index, self.local.status(), own_index);
    }

    /// Records that another member reported another live process at this index. Soon after a start this is the former
    /// process; later it is an index conflict.
    fn conflicting_process_reported(&mut self, now: Time, out: &mut Vec<Output>) {
        let recent = self.conflict_reports.filter(|reports| now - reports.last < CONFLICT_WINDOW);
        let first = recent.map_or(now, |reports| reports.first);
        if now - first < CONFLICT_TOLERANCE {
            self.conflict_reports = Some(ConflictReports { first, last: now });
            return;
        }
        self.conflict_reports = None;
        out.push(Output::IndexConflict { index: self.config.own_index });
    }

    /// Updates all tables after the status of a member has changed, and disseminates the status.
    pub(super) fn status_changed(
        &mut self, now: Time, index: u16, before: KnownMember, cause: Cause, out: &mut Vec<Output>,
    ) {
        let reporter = match cause {
            Cause::ReportedBy(reporter) => reporter,
            _ => self.config.own_index,
        };
        let member = self.member_mut(index);
        let (from, to) = (before.state(), member.known.state());
        let Some(status) = member.known.status() else { return };
        let is_other_process = before.boot().is_some_and(|boot| boot != status.boot);
        member.suspicion = (to == MemberState::Suspect).then(|| Suspicion::new(now, reporter));
        if to == MemberState::Suspect {
            self.suspects.insert(index);
        } else {
            self.suspects.remove(&index);
        }
        self.updates.add(index, status, reporter);
        if from == to && !is_other_process {
            return; // only the incarnation is higher
        }
        self.member_mut(index).state_since = now;
        if from.is_live() != to.is_live() || is_other_process {
            self.live_changed_at = now;
        }
        if !from.is_live() && to.is_live() {
            self.became_live(now, index, from, is_other_process);
        }
        if from.is_live() && !to.is_live() {
            self.became_non_live(index, to);
        }
        if to == MemberState::Suspect {
            self.probe_outside_cycle(now, index, out); // no suspect is declared dead without a probe of this process
        }
        let MemberStatus { boot, incarnation, .. } = status;
        out.push(Output::StateChanged(Transition { index, from, to, boot, incarnation, cause }));
    }

    fn became_live(&mut self, now: Time, index: u16, from: MemberState, is_other_process: bool) {
        self.live_peers += 1;
        // At a random position of the cycle: at its end, a new member would wait for a complete cycle.
        let position = self.random_below(self.probes.remaining.len() + 1);
        self.probes.remaining.insert(position, index);
        if from == MemberState::Dead && !is_other_process {
            self.reconnects.accelerate(now); // a link works again: other members may be reachable as well
        }
    }

    fn became_non_live(&mut self, index: u16, to: MemberState) {
        self.live_peers -= 1;
        self.records.remove(index);
        if to == MemberState::Dead {
            self.reconnects.recently_dead_count += 1;
        }
    }

    /// Removes the status of members that have been dead or departed for the retention time.
    pub(super) fn remove_expired(&mut self, now: Time, out: &mut Vec<Output>) {
        let retention = self.settings.retention;
        for index in self.peer_indices(|state| matches!(state, MemberState::Dead | MemberState::Departed)) {
            let member = self.member_mut(index);
            let Some(status) = member.known.status() else { continue };
            if now - member.state_since < retention {
                continue;
            }
            member.known.clear_status();
            member.state_since = now;
            self.updates.remove(index);
            let MemberStatus { boot, incarnation, state: from } = status;
            let (to, cause) = (MemberState::Unknown, Cause::Expired);
            out.push(Output::StateChanged(Transition { index, from, to, boot, incarnation, cause }));
        }
    }
}
