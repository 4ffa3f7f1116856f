//! The replica: its fields, the dispatch of inputs, and the host's queries.

use crate::departure::OwnDeparture;
use crate::election::VoteRequest;
use crate::follower::Heartbeat;
use crate::history::History;
use crate::progress::{Learner, Progress, SentHeartbeat};
use crate::proposal::QueuedProposal;
use crate::quorum::Quorum;
use crate::read_index::PendingConfirmation;
use crate::replication::AppendResponse;
use crate::writes::{BlockedAction, CampaignKind, PendingWrite};
use crate::{Input, Output, Role, Settings, Storage};
use gaugesaddle_protocol::{Configuration, HardState, LogPosition, ReplicaId, ReplicaMessage, State};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One replica of the configuration. Its roles and their transitions are documented at [`Role`].
///
/// Times are milliseconds on the host's monotonic clock.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) storage: Storage,
    /// Time of the creation.
    pub(crate) started_ms: u64,
    /// Identifies this process in its clock readings.
    pub(crate) process: u64,
    /// State of the pseudo-random generator; never 0.
    pub(crate) random: u64,

    /// The hard state, durable or being written.
    pub(crate) hard_state: HardState,
    /// The newest state, durable or being written.
    pub(crate) state: State,
    /// The newest state known to be committed.
    pub(crate) committed: LogPosition,
    /// The configuration of that state.
    pub(crate) published: Option<Configuration>,

    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// Arrival time of the latest heartbeat of a leader.
    pub(crate) leader_contact_ms: Option<u64>,
    /// The newest clock reading of this process that the present leader has echoed: the leader sent its report later.
    pub(crate) fresh_as_of_ms: Option<u64>,
    /// The newest state that a leader has reported as committed.
    pub(crate) leader_committed: LogPosition,

    pub(crate) election_deadline: u64,
    pub(crate) pre_votes_granted: BTreeSet<ReplicaId>,
    pub(crate) votes_granted: BTreeSet<ReplicaId>,
    pub(crate) votes_rejected: BTreeSet<ReplicaId>,

    /// Leader only: the time of the election.
    pub(crate) elected_ms: u64,
    /// Leader only: replication progress of the other voters, and of the learners to which a message was sent.
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    pub(crate) learners: BTreeMap<ReplicaId, Learner>,
    pub(crate) history: History,
    pub(crate) heartbeat_sequence: u64,
    pub(crate) sent_heartbeats: VecDeque<SentHeartbeat>,
    pub(crate) heartbeat_deadline: u64,
    pub(crate) join_deadline: u64,
    /// Machines that have reported that they have no disk.
    pub(crate) diskless_machines: BTreeSet<u32>,
    /// `None` unless this replica leaves the group.
    pub(crate) own_departure: Option<OwnDeparture>,

    pub(crate) next_write: u64,
    pub(crate) pending_writes: VecDeque<PendingWrite>,
    pub(crate) blocked_actions: VecDeque<BlockedAction>,
    pub(crate) durable_term: u64,
    pub(crate) durable_position: LogPosition,

    pub(crate) queued_proposals: VecDeque<QueuedProposal>,
    /// Request number of the proposal that is being replicated.
    pub(crate) replicating_proposal: Option<u64>,
    pub(crate) pending_confirmations: Vec<PendingConfirmation>,
    /// Reads that are delayed until this leader has committed a state of its own term.
    pub(crate) reads_awaiting_commit: Vec<u64>,
}

impl Replica {
    /// Creates a replica from the contents of its disk, started at `now` milliseconds. `random` seeds its election
    /// time-outs and identifies its process; two processes of one machine must have different values.
    pub fn new(
        settings: Settings, hard_state: HardState, state: State, now: u64, random: u64, storage: Storage,
    ) -> Replica {
        let durable_term = hard_state.term;
        let durable_position = state.position;
        let mut replica = Replica {
            settings,
            storage,
            started_ms: now,
            process: random,
            random: random | 1,
            hard_state,
            state,
            committed: LogPosition::default(),
            published: None,
            role: Role::Follower,
            leader: None,
            leader_contact_ms: None,
            fresh_as_of_ms: None,
            leader_committed: LogPosition::default(),
            election_deadline: 0,
            pre_votes_granted: BTreeSet::new(),
            votes_granted: BTreeSet::new(),
            votes_rejected: BTreeSet::new(),
            elected_ms: 0,
            progress: BTreeMap::new(),
            learners: BTreeMap::new(),
            history: History::default(),
            heartbeat_sequence: 0,
            sent_heartbeats: VecDeque::new(),
            heartbeat_deadline: 0,
            join_deadline: now,
            diskless_machines: BTreeSet::new(),
            own_departure: None,
            next_write: 1,
            pending_writes: VecDeque::new(),
            blocked_actions: VecDeque::new(),
            durable_term,
            durable_position,
            queued_proposals: VecDeque::new(),
            replicating_proposal: None,
            pending_confirmations: Vec::new(),
            reads_awaiting_commit: Vec::new(),
        };
        replica.reset_election_deadline(now);
        // The first time-out is shorter: after a crash of all processes there is no leader to wait for, and if there is
        // a leader, the pre-votes are rejected.
        replica.election_deadline -= settings.election_timeout_ms - settings.first_election_timeout_ms;
        replica
    }

    /// Handles one input that happened at `now` milliseconds and appends the actions that it requires to `out`.
    pub fn handle(&mut self, now: u64, input: Input, out: &mut Vec<Output>) {
        self.check_lease(now, out);
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.handle_message(now, from, message, out),
            Input::Persisted(write_id) => self.handle_persisted(now, write_id, out),
            Input::Propose(request, proposal) => self.handle_propose(now, request, *proposal, out),
            Input::Read(request) => self.handle_read(now, request, out),
        }
        self.run_timers(now, out);
    }

    fn handle_message(&mut self, now: u64, from: ReplicaId, message: ReplicaMessage, out: &mut Vec<Output>) {
        match message {
            ReplicaMessage::RequestPreVote { term, last_position } => {
                self.handle_pre_vote_request(now, from, term, last_position, out);
            }
            ReplicaMessage::RequestPreVoteResponse { term, granted } => {
                self.handle_pre_vote_response(now, from, term, granted, out);
            }
            ReplicaMessage::RequestVote { term, last_position, leadership_transfer } => {
                let kind = if leadership_transfer {
                    CampaignKind::LeadershipTransfer
                } else {
                    CampaignKind::Election
                };
                self.handle_vote_request(now, from, VoteRequest { term, last_position, kind }, out);
            }
            ReplicaMessage::RequestVoteResponse { term, granted } => {
                self.handle_vote_response(now, from, term, granted, out);
            }
            ReplicaMessage::Append { term, sequence, last_position, committed, state, echoed_reading } => {
                let heartbeat = Heartbeat { term, sequence, last_position, committed, echoed_reading };
                self.handle_append(now, from, heartbeat, state, out);
            }
            ReplicaMessage::AppendResponse { term, sequence, matched, received, clock_reading } => {
                let response = AppendResponse { term, sequence, matched, received, clock_reading };
                self.handle_append_response(now, from, response, out);
            }
            ReplicaMessage::TimeoutNow { term } => self.handle_timeout_now(now, from, term, out),
            ReplicaMessage::Join { durable } => self.handle_join(now, from, durable),
            ReplicaMessage::Leave { process } => self.handle_leave(now, from, process, out),
            ReplicaMessage::LeaveResponse { process, departure } => {
                self.handle_leave_response(process, departure);
            }
        }
    }

    fn run_timers(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role == Role::Leader {
            self.advance_membership(now, out);
            if now >= self.heartbeat_deadline {
                self.broadcast_heartbeat(now, out);
            }
        } else if now >= self.election_deadline {
            self.start_pre_vote(now, out);
        }
        if self.needs_to_join() && now >= self.join_deadline {
            self.broadcast_join(now, out);
        }
        self.advance_departure(now, out);
    }

    /// Latest time of the next [`Input::Tick`], in milliseconds. Any input may change it.
    pub fn deadline(&self) -> u64 {
        let role_deadline = match self.role {
            Role::Leader => self.heartbeat_deadline,
            Role::Follower | Role::Candidate => self.election_deadline,
        };
        let join_deadline = self.needs_to_join().then_some(self.join_deadline);
        let other_deadlines = join_deadline.into_iter().chain(self.departure_deadline());
        other_deadlines.fold(role_deadline, u64::min)
    }

    /// This replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.hard_state.id
    }

    /// The present role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The present term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The leader of the present term; `None` while this replica has no contact with one.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The voters in the newest state, committed or not.
    pub fn voters(&self) -> &[ReplicaId] {
        &self.state.voters
    }

    /// Whether the newest state of this replica is committed and no membership change is in progress in it.
    pub fn is_membership_committed(&self) -> bool {
        self.committed == self.state.position && self.state.outgoing.is_empty()
    }

    /// The newest configuration reported to this replica as committed; `None` before the first.
    pub fn committed(&self) -> Option<&Configuration> {
        self.published.as_ref()
    }

    /// Whether this replica has everything that was committed until `follower_lease_ms` ago (on a leader:
    /// `leader_lease_ms`).
    ///
    /// A follower uses only its own clock: it computes the age of the newest clock reading that the leader has echoed.
    /// The arrival time of a heartbeat is no evidence, since the heartbeat may have been delayed on a slow link, or in
    /// the socket buffer of a suspended process.
    pub fn is_fresh(&self, now: u64) -> bool {
        if self.committed.term != self.hard_state.term {
            return false;
        }
        if self.role == Role::Leader {
            return self.has_lease(now);
        }
        let is_recent = |fresh_as_of_ms: u64| now < fresh_as_of_ms + self.settings.follower_lease_ms;
        self.leader.is_some()
            && self.committed >= self.leader_committed
            && self.fresh_as_of_ms.is_some_and(is_recent)
    }

    /// Whether this replica leads and a quorum has acknowledged a heartbeat sent within the last `leader_lease_ms`.
    pub fn has_lease(&self, now: u64) -> bool {
        self.role == Role::Leader && now < self.quorum_contact_ms() + self.settings.leader_lease_ms
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.state.voters.contains(&self.hard_state.id)
    }

    /// Whether this replica broadcasts `Join`: it is not a voter, or it has no leader and may have been removed from
    /// the group in the meantime. A witness always does, so that the leader knows that it has no disk. A departing
    /// replica does not join again.
    fn needs_to_join(&self) -> bool {
        let may_be_removed = !self.is_voter() || self.leader.is_none() || self.storage == Storage::Witness;
        self.role != Role::Leader && self.own_departure.is_none() && may_be_removed
    }

    pub(crate) fn quorum(&self) -> Quorum<'_> {
        Quorum::of(&self.state)
    }

    /// The other voters in ascending order, including the outgoing ones during a membership change.
    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        let both_groups = self.state.voters.iter().chain(&self.state.outgoing);
        let voters: BTreeSet<ReplicaId> = both_groups.copied().collect();
        voters.into_iter().filter(|voter| *voter != self.hard_state.id).collect()
    }
}
