//! Which replicas vote, changed by joint consensus.
//!
//! A replica that is no voter asks whoever leads to be taken in, and gets every state. Only once it has the newest does
//! the leader change the group:
//!
//! ```text
//!  settled --successor has all, or a voter is silent--> joint: voters and outgoing, a majority of each decides
//!     ^                                                   |
//!     +------------- committed: outgoing is emptied ------+
//! ```
//!
//! A successor takes the place of the voter that had its machine (its disk was lost), else of one that does not answer
//! (its machine may have been replaced), else it is added. Nobody loses a vote before its successor has the state, so
//! that a second loss meets as many copies as the first did.

use crate::replica::Learner;
use crate::settings::{MAX_LEARNERS, MAX_VOTERS};
use crate::{Output, Replica, Role};
use gaugesaddle_protocol::{ReplicaId, ReplicaMessage, State};

/// A replica that wants to be taken in asks so often, in milliseconds.
const JOIN: u64 = 300;
/// A learner that has not asked for so long is forgotten.
const LEARNER_SILENCE: u64 = 2000;

impl Replica {
    pub(crate) fn ask_to_join(&mut self, now: u64, out: &mut Vec<Output>) {
        self.join_at = now + JOIN;
        out.push(Output::Broadcast(ReplicaMessage::Join { durable: self.has_disk }));
    }

    pub(crate) fn join(&mut self, now: u64, from: ReplicaId, durable: bool) {
        if self.role != Role::Leader
            || self.state.voters.contains(&from)
            || self.learners.len() >= MAX_LEARNERS
        {
            return;
        }
        self.learners.insert(from, Learner { asked: now, durable });
    }

    /// Takes the next step of a change of voters, if the last one is on the disks that it takes.
    pub(crate) fn change_membership(&mut self, now: u64, out: &mut Vec<Output>) {
        self.learners.retain(|_, learner| now < learner.asked + LEARNER_SILENCE);
        let settled = self.committed == self.state.position && self.proposing.is_none();
        if !settled || self.committed.term != self.hard_state.term {
            return;
        }
        if !self.state.outgoing.is_empty() {
            self.replace_state(now, |state| state.outgoing.clear(), out);
        } else if let Some(voters) = self.next_voters(now) {
            self.learners.retain(|l, _| !voters.contains(l));
            let change = |state: &mut State| state.outgoing = std::mem::replace(&mut state.voters, voters);
            self.replace_state(now, change, out);
        }
    }

    /// The voters after the next change, if one is due.
    fn next_voters(&self, now: u64) -> Option<Vec<ReplicaId>> {
        let mut voters = self.state.voters.clone();
        if let Some(learner) = self.caught_up_learner() {
            match self.place_for(now, learner) {
                Some(place) => voters[place] = learner,
                // Beside a voter that is gone a further one only makes the majority larger: it is known soon.
                None if voters.len() < MAX_VOTERS && self.has_heard_all() => voters.push(learner),
                None => return None,
            }
            return Some(voters);
        }
        if voters.len() <= self.settings.min_voters {
            return None;
        }
        let silent =
            voters.iter().position(|v| self.is_without_contact(now, v, self.settings.removal_timeout_ms))?;
        voters.remove(silent);
        Some(voters)
    }

    /// A learner with a disk that has the newest state on it.
    fn caught_up_learner(&self) -> Option<ReplicaId> {
        let caught_up = |id: &ReplicaId| self.peers.get(id).is_some_and(|p| p.matched == self.state.position);
        let durable = self.learners.iter().filter(|(_, learner)| learner.durable).map(|(id, _)| *id);
        durable.into_iter().find(caught_up)
    }

    /// The voter whose place a learner takes.
    fn place_for(&self, now: u64, learner: ReplicaId) -> Option<usize> {
        let voters = &self.state.voters;
        let same_machine = |v: &ReplicaId| v.ip == learner.ip && *v != self.hard_state.id;
        let predecessor = voters.iter().position(same_machine);
        let quiet = |v: &ReplicaId| self.is_without_contact(now, v, self.settings.replacement_timeout_ms);
        predecessor.or_else(|| voters.iter().position(quiet))
    }

    /// Whether every other voter has answered this leader.
    fn has_heard_all(&self) -> bool {
        let heard = |v: &ReplicaId| self.peers.get(v).is_some_and(|p| p.sequence > 0);
        self.state.voters.iter().all(|v| *v == self.hard_state.id || heard(v))
    }

    fn is_without_contact(&self, now: u64, voter: &ReplicaId, time: u64) -> bool {
        let contact = self.peers.get(voter).and_then(|p| p.contact).unwrap_or(0);
        *voter != self.hard_state.id && now >= contact + time
    }
}
