//! Elections: pre-votes (thesis 9.6), votes (3.4), leadership transfer (3.10), and stepping down without a quorum
//! (6.2).

use crate::history::History;
use crate::progress::Progress;
use crate::writes::{CampaignKind, PostSyncAction};
use crate::{Output, Replica, Role, Storage};
use gaugesaddle_protocol::{LogPosition, ReplicaId, ReplicaMessage};

/// The fields of `ReplicaMessage::RequestVote`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoteRequest {
    pub term: u64,
    pub last_position: LogPosition,
    pub kind: CampaignKind,
}

/// The next number of the xorshift generator, whose quality is sufficient for the jitter of election time-outs.
fn next_random(mut x: u64) -> u64 {
    x ^= x << 13;
    x ^= x >> 7;
    x ^ (x << 17)
}

impl Replica {
    /// Draws a pseudo-random number below `bound_ms`; 0 if `bound_ms` is 0.
    fn random_jitter_ms(&mut self, bound_ms: u64) -> u64 {
        self.random = next_random(self.random);
        self.random % bound_ms.max(1)
    }

    /// Restarts the full election time-out.
    pub(crate) fn reset_election_deadline(&mut self, now: u64) {
        let jitter_ms = self.random_jitter_ms(self.settings.election_jitter_ms);
        self.election_deadline = now + self.settings.election_timeout_ms + jitter_ms;
    }

    /// Starts the shorter time-out between rounds of pre-votes while there is no leader, since a majority may become
    /// available at any time.
    fn reset_pre_vote_deadline(&mut self, now: u64) {
        let jitter_ms = self.random_jitter_ms(self.settings.pre_vote_jitter_ms);
        self.election_deadline = now + self.settings.pre_vote_retry_ms + jitter_ms;
    }

    /// Whether a heartbeat of the leader has arrived within the minimum election time-out. No other replica should be
    /// elected during this time (thesis 4.2.3).
    fn follows_live_leader(&self, now: u64) -> bool {
        let is_recent = |contact_ms: u64| now < contact_ms + self.settings.election_timeout_ms;
        self.leader.is_some() && self.leader_contact_ms.is_some_and(is_recent)
    }

    /// Requests pre-votes for the next term after the election time-out, without entering that term.
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

    /// Whether this replica may campaign. During a membership change a replica of either group may lead (thesis 4.3): a
    /// replica that is being removed may be the only one with the newest state, and the outgoing group may have no
    /// majority without its vote. The same holds for a removed replica while the state without it is not known to be
    /// committed: the others may still require its vote, which it grants to no replica with an older state. And a
    /// replica outside the initial group may lead it, since the seeds with a disk may be lost.
    fn may_campaign(&self) -> bool {
        // A witness that is started once more by mistake does not know that there is a group already.
        if self.has_initial_state() {
            return self.storage == Storage::Durable;
        }
        let is_member = self.is_voter() || self.state.outgoing.contains(&self.hard_state.id);
        let may_be_required = self.may_vote() && self.committed != self.state.position;
        is_member || may_be_required
    }

    /// Whether this replica may grant votes. It need not be a voter in its own state: a replica that has just been
    /// added may not have received that state yet, and after the loss of another voter its vote may be required. The
    /// candidate counts only votes of the voters in its own state. A replica with an empty disk has a new identity and
    /// belongs to no group.
    fn may_vote(&self) -> bool {
        self.storage != Storage::Diskless && !self.state.voters.is_empty()
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

    /// Campaigns at once, as requested by the leader (thesis 3.10).
    pub(crate) fn handle_timeout_now(&mut self, now: u64, from: ReplicaId, term: u64, out: &mut Vec<Output>) {
        let is_from_leader =
            term == self.hard_state.term && self.leader == Some(from) && self.role == Role::Follower;
        let may_lead = self.is_voter() && self.storage == Storage::Durable;
        if is_from_leader && may_lead && !self.is_disk_stalled(now) {
            self.become_candidate(now, CampaignKind::LeadershipTransfer, out);
        }
    }

    /// Enters the next term as a candidate. Votes are requested once this replica's own vote is durable.
    fn become_candidate(&mut self, now: u64, kind: CampaignKind, out: &mut Vec<Output>) {
        self.pre_votes_granted.clear();
        // The full time-out applies, since a campaign includes two consecutive disk writes: the candidate's and the
        // voters'.
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

    /// Requests the votes of the other voters, once the candidate's own vote is durable.
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
            // Leadership also requires the candidate's own vote, which is counted once it is durable.
            self.votes_granted.insert(from);
            self.become_leader_if_elected(now, out);
        } else {
            self.votes_rejected.insert(from);
            self.abandon_lost_campaign(now);
        }
    }

    /// Ends a campaign that can no longer be won because too many voters have rejected it. Waiting for the full
    /// election time-out would prolong the time without a leader.
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
        self.elected_ms = now;
        // The election counts as contact with every voter; otherwise the lease of a new leader would have expired
        // already.
        let progress = Progress { contact_ms: Some(now), ..Progress::default() };
        self.progress = self.other_voters().into_iter().map(|voter| (voter, progress.clone())).collect();
        self.learners.clear();
        self.delay_departure(now);
        self.sent_heartbeats.clear();
        self.history = History::default();
        // The present state is rewritten in the new term, since a leader commits only states of its own term (thesis
        // 3.6.2).
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

    /// Becomes a follower. Pending proposals are answered as indeterminate, pending reads with `NotLeader`.
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

    /// Steps down if the leader lease has expired, or if the leader's own disk stalls.
    pub(crate) fn check_lease(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role == Role::Leader && (!self.has_lease(now) || self.is_disk_stalled(now)) {
            self.step_down(now, None, out);
        }
    }

    /// Send time of the newest heartbeat that a quorum has acknowledged, in milliseconds.
    pub(crate) fn quorum_contact_ms(&self) -> u64 {
        // The leader is always in contact with itself. Half of the range is used, so that adding a lease does not
        // overflow.
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

    /// Transfers leadership before a planned shutdown: steps down and requests a voter with the newest state to
    /// campaign at once.
    ///
    /// Without such a voter the leader steps down and sends no request. Pending proposals are answered as
    /// indeterminate, pending reads with [`NotLeader`](crate::NotLeader). On a replica that does not lead this has no
    /// effect.
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

    /// Of the voters on which the newest state is durable and that remain voters, the one with the most recent contact.
    pub(crate) fn transfer_target(&self) -> Option<ReplicaId> {
        let newest = self.state.position;
        let remains = |voter: &ReplicaId| !self.is_departing(voter) && !self.is_witness(voter);
        let is_candidate = |voter: &&ReplicaId| **voter != self.hard_state.id && remains(voter);
        let other_voters = self.state.voters.iter().filter(is_candidate);
        let up_to_date = other_voters.filter_map(|voter| {
            let progress = self.progress.get(voter)?;
            (progress.matched == newest).then_some((voter, progress))
        });
        up_to_date.max_by_key(|(_, progress)| progress.contact_ms).map(|(voter, _)| *voter)
    }
}
