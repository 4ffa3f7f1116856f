//! Elections: pre-votes (thesis 9.6), votes (3.4), and the end of a leadership (3.10, 6.2).

use crate::history::History;
use crate::progress::Progress;
use crate::writes::{CampaignKind, PostSyncAction};
use crate::{Output, Replica, Role, Storage};
use gaugesaddle_protocol::{LogPosition, ReplicaId, ReplicaMessage};

/// The fields of `RequestVote`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoteRequest {
    pub term: u64,
    pub last_position: LogPosition,
    pub kind: CampaignKind,
}

/// The next pseudo-random number (xorshift); election time-outs need no better generator.
fn next_random(mut x: u64) -> u64 {
    x ^= x << 13;
    x ^= x >> 7;
    x ^ (x << 17)
}

impl Replica {
    /// A number from 0 to below `bound_ms`; 0 where that is 0.
    fn random_jitter_ms(&mut self, bound_ms: u64) -> u64 {
        self.random = next_random(self.random);
        self.random % bound_ms.max(1)
    }

    /// Starts the full election time-out anew.
    pub(crate) fn reset_election_deadline(&mut self, now: u64) {
        let jitter_ms = self.random_jitter_ms(self.settings.election_jitter_ms);
        self.election_deadline = now + self.settings.election_timeout_ms + jitter_ms;
    }

    /// Starts the shorter time-out between attempts while there is no leader: a majority may become available at any moment.
    fn reset_pre_vote_deadline(&mut self, now: u64) {
        let jitter_ms = self.random_jitter_ms(self.settings.pre_vote_jitter_ms);
        self.election_deadline = now + self.settings.pre_vote_retry_ms + jitter_ms;
    }

    /// Whether a leader has been in contact within the least election time-out: no other replica should be elected then
    /// (thesis 4.2.3).
    fn follows_live_leader(&self, now: u64) -> bool {
        let is_recent = |contact_ms: u64| now < contact_ms + self.settings.election_timeout_ms;
        self.leader.is_some() && self.leader_contact_ms.is_some_and(is_recent)
    }

    /// The election time-out has passed: requests pre-votes for the next term, without entering it.
    pub(crate) fn start_pre_vote(&mut self, now: u64, out: &mut Vec<Output>) {
        self.reset_pre_vote_deadline(now);
        self.leader = None;
        // A replica whose disk stalls could not persist its vote.
        if !self.may_campaign() || self.is_disk_stalled(now) {
            return;
        }
        self.role = Role::Follower;
        self.pre_votes_granted = [self.hard_state.id].into();
        let message = ReplicaMessage::RequestPreVote {
            term: self.hard_state.term + 1,
            last_position: self.state.position,
        };
        for voter in self.other_voters() {
            out.push(Output::Send(voter, message.clone()));
        }
        self.campaign_on_pre_vote_quorum(now, out);
    }

    /// Whether it may campaign. During a membership change a replica of either group may lead (thesis 4.3): one that is being
    /// removed may be the only one with the newest state, without whose vote there is no majority of its group.
    fn may_campaign(&self) -> bool {
        self.is_voter() || self.state.outgoing.contains(&self.hard_state.id)
    }

    /// Whether it may grant votes. It need not be among the voters that it knows: a replica that has just become one may
    /// not have that state yet, and a group that has lost another voter needs its vote. The candidate counts only votes of
    /// its voters. A replica with an empty disk has a new identity and belongs to no group.
    fn may_vote(&self) -> bool {
        self.storage == Storage::Durable && !self.state.voters.is_empty()
    }

    pub(crate) fn handle_pre_vote_request(
        &mut self, now: u64, from: ReplicaId, term: u64, last_position: LogPosition, out: &mut Vec<Output>,
    ) {
        let has_leader = self.role == Role::Leader || self.follows_live_leader(now);
        let is_up_to_date = last_position >= self.state.position;
        let granted = !has_leader && self.may_vote() && term > self.hard_state.term && is_up_to_date;
        let term = if granted { term } else { self.hard_state.term };
        out.push(Output::Send(from, ReplicaMessage::RequestPreVoteResponse { term, granted }));
    }

    pub(crate) fn handle_pre_vote_response(
        &mut self, now: u64, from: ReplicaId, term: u64, granted: bool, out: &mut Vec<Output>,
    ) {
        let is_for_next_term = term == self.hard_state.term + 1;
        if granted && self.role == Role::Follower && is_for_next_term && self.leader.is_none() {
            self.pre_votes_granted.insert(from);
            self.campaign_on_pre_vote_quorum(now, out);
        } else if !granted && term > self.hard_state.term {
            self.enter_newer_term(now, term, out);
        }
    }

    fn campaign_on_pre_vote_quorum(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.quorum().is_reached(|voter| self.pre_votes_granted.contains(voter)) {
            self.become_candidate(now, CampaignKind::Election, out);
        }
    }

    /// The leader asks this voter to campaign at once (thesis 3.10).
    pub(crate) fn handle_timeout_now(&mut self, now: u64, from: ReplicaId, term: u64, out: &mut Vec<Output>) {
        let is_from_leader =
            term == self.hard_state.term && self.leader == Some(from) && self.role == Role::Follower;
        if is_from_leader && self.is_voter() && !self.is_disk_stalled(now) {
            self.become_candidate(now, CampaignKind::LeadershipTransfer, out);
        }
    }

    /// Enters the next term as a candidate. It requests votes once its own one is durable.
    fn become_candidate(&mut self, now: u64, kind: CampaignKind, out: &mut Vec<Output>) {
        self.pre_votes_granted.clear();
        // The full time-out: a campaign includes two disk writes, the candidate's and the voters'.
        self.reset_election_deadline(now);
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state.term += 1;
        self.hard_state.voted_for = Some(self.hard_state.id);
        self.votes_granted.clear();
        self.votes_rejected.clear();
        let write_id = self.persist_hard_state(now, out);
        self.after_sync(write_id, PostSyncAction::Campaign { term: self.hard_state.term, kind });
    }

    /// The candidate's own vote is durable: requests the others'.
    pub(crate) fn request_votes(&mut self, now: u64, term: u64, kind: CampaignKind, out: &mut Vec<Output>) {
        if self.role != Role::Candidate || term != self.hard_state.term {
            return;
        }
        self.votes_granted.insert(self.hard_state.id);
        let message = ReplicaMessage::RequestVote {
            term,
            last_position: self.state.position,
            leadership_transfer: kind == CampaignKind::LeadershipTransfer,
        };
        for voter in self.other_voters() {
            out.push(Output::Send(voter, message.clone()));
        }
        self.become_leader_if_elected(now, out);
    }

    pub(crate) fn handle_vote_request(
        &mut self, now: u64, from: ReplicaId, request: VoteRequest, out: &mut Vec<Output>,
    ) {
        let VoteRequest { term, last_position, kind } = request;
        // A replica that was removed, or partitioned, must not depose a live leader (thesis 4.2.3).
        let would_disrupt_leader = kind == CampaignKind::Election && self.follows_live_leader(now);
        if !self.may_vote() || (term > self.hard_state.term && would_disrupt_leader) {
            return;
        }
        if term > self.hard_state.term {
            self.enter_newer_term(now, term, out);
        }
        let has_vote = self.hard_state.voted_for.is_none_or(|voted_for| voted_for == from);
        let is_up_to_date = last_position >= self.state.position;
        if term < self.hard_state.term || !has_vote || !is_up_to_date || self.role != Role::Follower {
            let response = ReplicaMessage::RequestVoteResponse { term: self.hard_state.term, granted: false };
            out.push(Output::Send(from, response));
            return;
        }
        self.hard_state.voted_for = Some(from);
        self.reset_election_deadline(now);
        let write_id = self.persist_hard_state(now, out);
        let response = ReplicaMessage::RequestVoteResponse { term, granted: true };
        self.after_sync(write_id, PostSyncAction::Send(from, response));
    }

    pub(crate) fn handle_vote_response(
        &mut self, now: u64, from: ReplicaId, term: u64, granted: bool, out: &mut Vec<Output>,
    ) {
        if term > self.hard_state.term {
            return self.enter_newer_term(now, term, out);
        }
        if term < self.hard_state.term || self.role != Role::Candidate {
            return;
        }
        if granted {
            // It may arrive before the own vote is durable, which is counted only then.
            self.votes_granted.insert(from);
            self.become_leader_if_elected(now, out);
        } else {
            self.votes_rejected.insert(from);
            self.abandon_lost_campaign(now);
        }
    }

    /// Ends a campaign that can no longer be won, since a rival has the votes. Waiting for the time-out would leave the
    /// group without a leader for as long again.
    fn abandon_lost_campaign(&mut self, now: u64) {
        let can_be_won = self.quorum().is_reached(|voter| !self.votes_rejected.contains(voter));
        if !can_be_won {
            self.role = Role::Follower;
            self.reset_pre_vote_deadline(now);
        }
    }

    fn become_leader_if_elected(&mut self, now: u64, out: &mut Vec<Output>) {
        let has_quorum = self.quorum().is_reached(|voter| self.votes_granted.contains(voter));
        if !has_quorum || !self.votes_granted.contains(&self.hard_state.id) {
            return;
        }
        self.role = Role::Leader;
        self.leader = Some(self.hard_state.id);
        // The election counts as contact with every voter; otherwise the lease would have ended before it began.
        let progress = Progress { contact_ms: Some(now), ..Progress::default() };
        self.progress = self.other_voters().into_iter().map(|voter| (voter, progress.clone())).collect();
        self.learners.clear();
        self.sent_heartbeats.clear();
        self.history = History::default();
        // The state found is written under the new term: only a state of the own term can be committed (thesis 3.6.2).
        self.replace_state(now, |_| {}, out);
        self.broadcast_heartbeat(now, out);
    }

    /// Enters a newer term as a follower that has not voted.
    pub(crate) fn enter_newer_term(&mut self, now: u64, term: u64, out: &mut Vec<Output>) {
        if term <= self.hard_state.term {
            return;
        }
        self.step_down(now, None, out);
        self.hard_state.term = term;
        self.hard_state.voted_for = None;
        self.persist_hard_state(now, out);
    }

    /// Becomes a follower. What waits for this leadership is answered as indeterminate.
    pub(crate) fn step_down(&mut self, now: u64, leader: Option<ReplicaId>, out: &mut Vec<Output>) {
        if self.role == Role::Leader {
            self.reset_election_deadline(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.fresh_as_of_ms = None;
        self.votes_granted.clear();
        self.pre_votes_granted.clear();
        self.abandon_proposals(out);
        self.abandon_confirmations(out);
    }

    /// Ends a leadership without contact with a quorum, or whose own disk stalls.
    pub(crate) fn check_lease(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role == Role::Leader && (!self.has_lease(now) || self.is_disk_stalled(now)) {
            self.step_down(now, None, out);
        }
    }

    /// When the newest heartbeat was sent that a quorum has acknowledged, in milliseconds.
    pub(crate) fn quorum_contact_ms(&self) -> u64 {
        // The leader is always in contact with itself. Half the range leaves room for a lease to be added.
        const SELF_CONTACT_MS: u64 = u64::MAX / 2;
        let contact_ms = |voter: &ReplicaId| {
            if *voter == self.hard_state.id {
                SELF_CONTACT_MS
            } else {
                self.progress.get(voter).and_then(|p| p.contact_ms).unwrap_or(0)
            }
        };
        self.quorum().highest_reached(contact_ms)
    }

    /// Ends a leadership before the process ends: a voter that has the newest state campaigns at once.
    ///
    /// Without such a voter, and on a replica that does not lead, nothing is sent. Pending requests are answered as
    /// indeterminate.
    pub fn transfer_leadership(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(target) = self.transfer_target() {
            let message = ReplicaMessage::TimeoutNow { term: self.hard_state.term };
            out.push(Output::Send(target, message));
        }
        self.step_down(now, None, out);
    }

    /// Of the voters on which the newest state is durable, the one with the newest contact.
    fn transfer_target(&self) -> Option<ReplicaId> {
        let newest = self.state.position;
        let other_voters = self.state.voters.iter().filter(|voter| **voter != self.hard_state.id);
        let up_to_date = other_voters.filter_map(|voter| {
            let progress = self.progress.get(voter)?;
            (progress.matched == newest).then_some((voter, progress))
        });
        up_to_date.max_by_key(|(_, progress)| progress.contact_ms).map(|(voter, _)| *voter)
    }
}
