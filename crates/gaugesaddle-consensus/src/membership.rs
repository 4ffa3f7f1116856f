//! Which replicas vote: one change at a time, each committed before the next.
//!
//! A replica that is no voter asks whoever leads to be taken in. It gets every state; once it has the newest, the
//! leader removes the voter that had the same machine and another disk, and then adds it.

use crate::replica::Learner;
use crate::settings::{MOST_LEARNERS, MOST_VOTERS};
use crate::{Output, Replica, Role};
use gaugesaddle_protocol::{ReplicaId, ReplicaMessage};

/// A replica that is no voter asks so often, in milliseconds.
const JOIN: u64 = 300;
/// A learner that has not asked for so long is forgotten.
const LEARNER_SILENCE: u64 = 2000;
/// Voters are not removed for their silence below this number.
const LEAST_VOTERS: usize = 3;

impl Replica {
    pub(crate) fn ask_to_join(&mut self, now: u64, out: &mut Vec<Output>) {
        self.join_at = now + JOIN;
        out.push(Output::Broadcast(ReplicaMessage::Join { durable: self.has_disk }));
    }

    pub(crate) fn join(&mut self, now: u64, from: ReplicaId, durable: bool) {
        if self.role != Role::Leader
            || self.state.voters.contains(&from)
            || self.learners.len() >= MOST_LEARNERS
        {
            return;
        }
        self.learners.insert(from, Learner { asked: now, durable });
    }

    /// Takes the next step of a change of voters, if the last change is on a majority of disks.
    pub(crate) fn change_membership(&mut self, now: u64, out: &mut Vec<Output>) {
        self.learners.retain(|_, learner| now < learner.asked + LEARNER_SILENCE);
        let settled = self.committed == self.state.stamp && self.proposing.is_none();
        if !settled || self.committed.term != self.ballot.term {
            return;
        }
        if let Some(voters) = self.next_voters(now) {
            self.state.voters = voters;
            let voters = self.state.voters.clone();
            self.learners.retain(|l, _| !voters.contains(l));
            self.write_state(now, out);
        }
    }

    fn next_voters(&self, now: u64) -> Option<Vec<ReplicaId>> {
        let mut voters = self.state.voters.clone();
        for learner in self.learners.iter().filter(|(_, l)| l.durable).map(|(id, _)| id) {
            // The old disk of that machine is gone and will never vote again.
            let old = voters.iter().position(|v| v.ip == learner.ip && *v != self.ballot.me);
            if let Some(at) = old {
                voters.remove(at);
                return Some(voters);
            }
            let caught_up = self.peers.get(learner).is_some_and(|p| p.matched == self.state.stamp);
            if caught_up && voters.len() < MOST_VOTERS {
                voters.push(*learner);
                return Some(voters);
            }
        }
        if voters.len() <= LEAST_VOTERS || now < self.started + self.settings.forget {
            return None;
        }
        let silent = |v: &ReplicaId| {
            let contact = self.peers.get(v).and_then(|p| p.contact).unwrap_or(0);
            *v != self.ballot.me && now > contact + self.settings.forget
        };
        let at = voters.iter().position(silent)?;
        voters.remove(at);
        Some(voters)
    }
}
