//! Elections: pre-votes, votes, and the end of a leadership.

use crate::pending::PendingOnSync;
use crate::replica::{NotLeader, Progress};
use crate::update::History;
use crate::{Output, ProposalResult, Replica, Role};
use gaugesaddle_protocol::{LogPosition, ReplicaId, ReplicaMessage};

/// The next pseudo-random number after one (xorshift); elections need no better one.
fn next_random(mut x: u64) -> u64 {
    x ^= x << 13;
    x ^= x >> 7;
    x ^ (x << 17)
}

impl Replica {
    pub(crate) fn set_election_time(&mut self, now: u64) {
        self.random = next_random(self.random);
        let spread = self.random % self.settings.election_jitter_ms.max(1);
        self.election_at = now + self.settings.election_timeout_ms + spread;
    }

    /// Pre-votes are asked for anew soon: a majority may come up at any moment.
    fn set_retry_time(&mut self, now: u64) {
        self.random = next_random(self.random);
        self.election_at =
            now + self.settings.pre_vote_retry_ms + self.random % self.settings.pre_vote_jitter_ms.max(1);
    }

    /// Whether a leader has been heard so lately that nobody else should stand.
    fn follows_living_leader(&self, now: u64) -> bool {
        self.leader.is_some() && self.heard.is_some_and(|at| now < at + self.settings.election_timeout_ms)
    }

    pub(crate) fn begin_election(&mut self, now: u64, out: &mut Vec<Output>) {
        self.set_retry_time(now);
        self.leader = None;
        // A replica whose disk hangs could not keep its vote.
        if !self.is_voter() || self.disk_hangs(now) {
            return;
        }
        self.role = Role::Follower;
        self.pre_votes = [self.hard_state.id].into();
        let message = ReplicaMessage::RequestPreVote {
            term: self.hard_state.term + 1,
            last_position: self.state.position,
        };
        for other in self.others() {
            out.push(Output::Send(other, message.clone()));
        }
        self.stand_if_wanted(now, out);
    }

    /// Whether it may give votes. Whom they count for is the candidate's matter: a replica that was made a voter a moment
    /// ago may not know of it yet, and a group that has lost another voter needs it. One that has an empty disk has a new
    /// identity and is in nobody's group.
    fn may_vote(&self) -> bool {
        self.has_disk && !self.state.voters.is_empty()
    }

    pub(crate) fn pre_vote(
        &mut self, now: u64, from: ReplicaId, term: u64, last_position: LogPosition, out: &mut Vec<Output>,
    ) {
        let led = self.role == Role::Leader || self.follows_living_leader(now);
        let granted =
            !led && self.may_vote() && term > self.hard_state.term && last_position >= self.state.position;
        let term = if granted { term } else { self.hard_state.term };
        out.push(Output::Send(from, ReplicaMessage::RequestPreVoteResponse { term, granted }));
    }

    pub(crate) fn pre_vote_reply(
        &mut self, now: u64, from: ReplicaId, term: u64, granted: bool, out: &mut Vec<Output>,
    ) {
        if granted && self.role == Role::Follower && term == self.hard_state.term + 1 && self.leader.is_none()
        {
            self.pre_votes.insert(from);
            self.stand_if_wanted(now, out);
        } else if !granted && term > self.hard_state.term {
            self.observe_term(now, term, out);
        }
    }

    fn stand_if_wanted(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.quorum().is_reached(|v| self.pre_votes.contains(v)) {
            self.stand(now, false, out);
        }
    }

    /// The leader has ended its leadership and asks this replica to lead.
    pub(crate) fn take_over(&mut self, now: u64, from: ReplicaId, term: u64, out: &mut Vec<Output>) {
        let asked = term == self.hard_state.term && self.leader == Some(from) && self.role == Role::Follower;
        if asked && self.is_voter() && !self.disk_hangs(now) {
            self.stand(now, true, out);
        }
    }

    /// Becomes a candidate of the next term.
    fn stand(&mut self, now: u64, leadership_transfer: bool, out: &mut Vec<Output>) {
        self.pre_votes.clear();
        // A candidate's round has its full time: two writes to disks lie in it.
        self.set_election_time(now);
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state.term += 1;
        self.hard_state.voted_for = Some(self.hard_state.id);
        self.votes.clear();
        self.refusals.clear();
        let write_id = self.persist(now, false, out);
        self.after.push_back((
            write_id,
            PendingOnSync::Campaign { term: self.hard_state.term, leadership_transfer },
        ));
    }

    /// The own vote is on the disk: asks the others for theirs.
    pub(crate) fn campaign(&mut self, now: u64, term: u64, leadership_transfer: bool, out: &mut Vec<Output>) {
        if self.role != Role::Candidate || term != self.hard_state.term {
            return;
        }
        self.votes.insert(self.hard_state.id);
        for other in self.others() {
            let last_position = self.state.position;
            out.push(Output::Send(
                other,
                ReplicaMessage::RequestVote { term, last_position, leadership_transfer },
            ));
        }
        self.lead_if_elected(now, out);
    }

    pub(crate) fn vote(
        &mut self, now: u64, from: ReplicaId,
        (term, last_position, leadership_transfer): (u64, LogPosition, bool), out: &mut Vec<Output>,
    ) {
        let waits = !leadership_transfer && self.follows_living_leader(now);
        if !self.may_vote() || (term > self.hard_state.term && waits) {
            return;
        }
        if term > self.hard_state.term {
            self.observe_term(now, term, out);
        }
        let free = self.hard_state.voted_for.is_none_or(|v| v == from);
        if term < self.hard_state.term
            || !free
            || last_position < self.state.position
            || self.role != Role::Follower
        {
            let refusal = ReplicaMessage::RequestVoteResponse { term: self.hard_state.term, granted: false };
            out.push(Output::Send(from, refusal));
            return;
        }
        self.hard_state.voted_for = Some(from);
        self.set_election_time(now);
        let write_id = self.persist(now, false, out);
        let reply = ReplicaMessage::RequestVoteResponse { term, granted: true };
        self.after.push_back((write_id, PendingOnSync::Send(from, reply)));
    }

    pub(crate) fn vote_reply(
        &mut self, now: u64, from: ReplicaId, term: u64, granted: bool, out: &mut Vec<Output>,
    ) {
        if term > self.hard_state.term {
            return self.observe_term(now, term, out);
        }
        if term < self.hard_state.term || self.role != Role::Candidate {
            return;
        }
        if granted {
            // A vote may come before the own one is on the disk; that one is counted as well only then.
            self.votes.insert(from);
            self.lead_if_elected(now, out);
        } else {
            self.refusals.insert(from);
            self.give_way(now);
        }
    }

    /// Ends a candidature that too many have refused: a rival has their votes. Waiting for its end would leave the group
    /// without a leader for as long again.
    fn give_way(&mut self, now: u64) {
        if !self.quorum().is_reached(|v| !self.refusals.contains(v)) {
            self.role = Role::Follower;
            self.set_retry_time(now);
        }
    }

    fn lead_if_elected(&mut self, now: u64, out: &mut Vec<Output>) {
        if !self.quorum().is_reached(|v| self.votes.contains(v)) || !self.votes.contains(&self.hard_state.id)
        {
            return;
        }
        self.role = Role::Leader;
        self.leader = Some(self.hard_state.id);
        self.peers = self.others().into_iter().map(|p| (p, Progress::default())).collect();
        self.learners.clear();
        self.heartbeats.clear();
        let assumed = Some(now);
        self.peers.values_mut().for_each(|p| p.contact = assumed);
        self.history = History::default();
        self.replace_state(now, |_| {}, out);
        self.heartbeat(now, out);
    }

    /// A newer term: whoever was leader or candidate follows.
    pub(crate) fn observe_term(&mut self, now: u64, term: u64, out: &mut Vec<Output>) {
        if term <= self.hard_state.term {
            return;
        }
        self.step_down(now, None, out);
        self.hard_state.term = term;
        self.hard_state.voted_for = None;
        self.persist(now, false, out);
    }

    /// Follows, and gives no clear answer to what waits.
    pub(crate) fn step_down(&mut self, now: u64, leader: Option<ReplicaId>, out: &mut Vec<Output>) {
        if self.role == Role::Leader {
            self.set_election_time(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.current_at = None;
        self.votes.clear();
        self.pre_votes.clear();
        for id in self.proposing.take().into_iter().chain(self.proposals.drain(..).map(|(id, _)| id)) {
            out.push(Output::Proposed(id, ProposalResult::Indeterminate));
        }
        for waiting in self.confirming.drain(..) {
            out.push(match waiting.answer {
                crate::pending::Confirmed::Read(id, _) => Output::Read(id, Err(NotLeader)),
                crate::pending::Confirmed::Proposal(id, _) => {
                    Output::Proposed(id, ProposalResult::Indeterminate)
                }
            });
        }
        for id in self.early.drain(..) {
            out.push(Output::Read(id, Err(NotLeader)));
        }
    }

    pub(crate) fn disk_hangs(&self, now: u64) -> bool {
        self.writes.front().is_some_and(|(_, begun, _, _)| now > begun + self.settings.disk_stall_ms)
    }

    pub(crate) fn check_lease(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role == Role::Leader && (!self.has_lease(now) || self.disk_hangs(now)) {
            self.step_down(now, None, out);
        }
    }

    /// When the last heartbeat was sent that a majority has answered.
    pub(crate) fn majority_contact(&self) -> u64 {
        let contact = |v: &ReplicaId| {
            if *v == self.hard_state.id {
                u64::MAX / 2
            } else {
                self.peers.get(v).and_then(|p| p.contact).unwrap_or(0)
            }
        };
        self.quorum().reaches(contact)
    }
}
