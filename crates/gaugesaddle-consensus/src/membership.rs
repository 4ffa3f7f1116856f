//! Membership changes by joint consensus (thesis 4.3).
//!
//! A replica that is not a voter broadcasts `Join` and becomes a learner, to which the leader sends every state. The
//! leader changes the group only once the newest state is durable on the learner:
//!
//! ```text
//!             a learner has caught up, or a voter
//!             departs or has not responded for too long
//!  committed ------------------------------------> joint: voters and outgoing, a majority of each decides
//!      ^                                             |
//!      +--- joint state committed: outgoing emptied -+
//! ```
//!
//! A replica that is being removed may be elected during the change; it leads until the group without it is committed.
//!
//! A learner replaces the voter with the same address (whose disk was lost), else a [departing](crate::departure)
//! voter, else an unresponsive voter (whose machine may have been replaced), else a [witness](crate::bootstrap);
//! otherwise it is added. A voter is replaced only once its successor has the newest state, so that a replacement does
//! not reduce the number of voters that have the state, and a second loss is tolerated like the first. A departing
//! voter is removed at once if enough voters remain: otherwise its end would count as a loss beside the one that the
//! remaining voters tolerate.

use crate::progress::Learner;
use crate::settings::{MAX_LEARNERS, MAX_VOTERS};
use crate::{Output, Replica, Role, Storage};
use gaugesaddle_protocol::{ReplicaId, ReplicaMessage, State};

/// Interval between the `Join` broadcasts of a replica that is not a voter.
pub(crate) const JOIN_INTERVAL_MS: u64 = 300;
/// Age of the latest `Join` at which a learner is dropped. Five consecutive broadcasts may be lost.
const LEARNER_TIMEOUT_MS: u64 = 2000;

/// How a learner is promoted to a voter.
enum LearnerPromotion {
    /// It replaces the voter at this index.
    Replace(usize),
    /// It is added to the voters.
    Add,
}

impl Replica {
    pub(crate) fn broadcast_join(&mut self, now: u64, out: &mut Vec<Output>) {
        self.join_deadline = now + JOIN_INTERVAL_MS;
        let durable = self.storage == Storage::Durable;
        out.push(Output::Broadcast(ReplicaMessage::Join { durable }));
    }

    pub(crate) fn handle_join(&mut self, now: u64, from: ReplicaId, durable: bool) {
        self.record_disk(from.ip, durable);
        let is_voter = self.state.voters.contains(&from);
        if self.role != Role::Leader || is_voter || self.learners.len() >= MAX_LEARNERS {
            return;
        }
        self.learners.insert(from, Learner { joined_ms: now, durable });
    }

    /// Takes the next step of a membership change once the previous step is committed.
    pub(crate) fn advance_membership(&mut self, now: u64, out: &mut Vec<Output>) {
        self.learners.retain(|_, learner| now < learner.joined_ms + LEARNER_TIMEOUT_MS);
        self.prune_progress();
        let is_idle = self.committed == self.state.position && self.replicating_proposal.is_none();
        if !is_idle || self.committed.term != self.hard_state.term {
            return;
        }
        if !self.state.outgoing.is_empty() {
            self.replace_state(now, |state| state.outgoing.clear(), out);
        } else if !self.is_voter() {
            self.enter_or_leave_group(now, out);
        } else if self.storage == Storage::Witness && self.transfer_target().is_some() {
            self.transfer_leadership(now, out);
        } else if let Some(voters) = self.next_voters(now) {
            self.change_voters(now, voters, out);
        }
    }

    /// The next step of a leader outside the group: it takes the place of a witness, or has led only to complete the
    /// change that removed it (thesis 4.2.2).
    fn enter_or_leave_group(&mut self, now: u64, out: &mut Vec<Output>) {
        let Some(witness) = self.witness_index().filter(|_| self.storage == Storage::Durable) else {
            return self.transfer_leadership(now, out);
        };
        let mut voters = self.state.voters.clone();
        voters[witness] = self.hard_state.id;
        self.change_voters(now, voters, out);
    }

    fn change_voters(&mut self, now: u64, voters: Vec<ReplicaId>, out: &mut Vec<Output>) {
        self.learners.retain(|learner, _| !voters.contains(learner));
        let change = |state: &mut State| state.outgoing = std::mem::replace(&mut state.voters, voters);
        self.replace_state(now, change, out);
    }

    /// Drops the progress of replicas that no longer receive heartbeats: former voters, and learners that have been
    /// dropped.
    fn prune_progress(&mut self) {
        let (voters, learners) = (self.other_voters(), &self.learners);
        self.progress.retain(|id, _| voters.contains(id) || learners.contains_key(id));
    }

    /// The voters after the next membership change, if a change is due.
    fn next_voters(&self, now: u64) -> Option<Vec<ReplicaId>> {
        let mut voters = self.state.voters.clone();
        if let Some(learner) = self.caught_up_learner() {
            match self.promotion_of(now, learner)? {
                LearnerPromotion::Replace(slot) => voters[slot] = learner,
                LearnerPromotion::Add => voters.push(learner),
            }
            return Some(voters);
        }
        voters.remove(self.removable_voter(now)?);
        Some(voters)
    }

    /// Index of a voter to remove without a replacement.
    fn removable_voter(&self, now: u64) -> Option<usize> {
        let may_shrink = self.state.voters.len() > self.settings.min_voters;
        let unneeded = || self.departing_or_unresponsive(now, self.settings.removal_timeout_ms);
        may_shrink.then(unneeded).flatten().or_else(|| self.expired_witness_index(now))
    }

    /// Index of a voter that departs, else of one that has not responded for `timeout_ms`.
    fn departing_or_unresponsive(&self, now: u64, timeout_ms: u64) -> Option<usize> {
        let voters = &self.state.voters;
        let departing = voters.iter().position(|voter| self.is_departing(voter));
        departing.or_else(|| voters.iter().position(|voter| self.is_unresponsive(now, voter, timeout_ms)))
    }

    /// A learner with a disk on which the newest state is durable.
    fn caught_up_learner(&self) -> Option<ReplicaId> {
        let newest = self.state.position;
        let has_caught_up = |id: &ReplicaId| self.progress.get(id).is_some_and(|p| p.matched == newest);
        let mut durable = self.learners.iter().filter(|(_, learner)| learner.durable).map(|(id, _)| *id);
        durable.find(has_caught_up)
    }

    /// How to promote a caught-up learner; `None` while the promotion is delayed.
    fn promotion_of(&self, now: u64, learner: ReplicaId) -> Option<LearnerPromotion> {
        let voters = &self.state.voters;
        let has_same_address = |voter: &ReplicaId| voter.ip == learner.ip && *voter != self.hard_state.id;
        if let Some(slot) = voters.iter().position(has_same_address) {
            return Some(LearnerPromotion::Replace(slot));
        }
        if let Some(slot) = self.departing_or_unresponsive(now, self.settings.replacement_timeout_ms) {
            return Some(LearnerPromotion::Replace(slot));
        }
        if let Some(slot) = self.witness_index() {
            return Some(LearnerPromotion::Replace(slot));
        }
        // If a voter is dead, an additional voter only increases the size of the majority. A new leader therefore adds
        // no voter until all voters have responded; a voter that does not respond is replaced after its time-out.
        let may_add = voters.len() < MAX_VOTERS && self.have_all_voters_responded();
        may_add.then_some(LearnerPromotion::Add)
    }

    /// Whether every other voter has acknowledged a heartbeat of this leader.
    fn have_all_voters_responded(&self) -> bool {
        let has_responded =
            |voter: &ReplicaId| self.progress.get(voter).is_some_and(|p| p.acknowledged_sequence > 0);
        self.state.voters.iter().all(|voter| *voter == self.hard_state.id || has_responded(voter))
    }

    /// Whether another voter has acknowledged no heartbeat that was sent within the last `timeout_ms`.
    pub(crate) fn is_unresponsive(&self, now: u64, voter: &ReplicaId, timeout_ms: u64) -> bool {
        let contact_ms = self.progress.get(voter).and_then(|p| p.contact_ms).unwrap_or(0);
        *voter != self.hard_state.id && now >= contact_ms + timeout_ms
    }
}

#[cfg(test)]
mod tests;
