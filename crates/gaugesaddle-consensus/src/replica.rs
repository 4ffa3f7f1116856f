//! One replica: its state, inputs and outputs.
//!
//! ```text
//!          silence and pre-votes of a majority,
//!          or asked to take over                        votes of a majority, own on disk
//!  Follower ------------------------------> Candidate ---------------------------------> Leader
//!     ^  ^                                      |                                          |
//!     |  +---------- newer term, a leader ------+                                          |
//!     +--- newer term, no majority heard for `lease`, own disk slower than `disk`, end ----+
//! ```

use crate::pending::{Confirming, PendingOnSync};
use crate::quorum::Quorum;
use crate::update::History;
use crate::{Proposal, ProposalResult, Settings, WriteId};
use gaugesaddle_protocol::{
    ClockReading, Configuration, HardState, LogPosition, ReplicaId, ReplicaMessage, State,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message of another replica.
    Message {
        /// Who sent it.
        from: ReplicaId,
        /// What it says.
        message: ReplicaMessage,
    },
    /// A write and all before it are on the disk.
    Persisted(WriteId),
    /// An operator's change; answered by [`Output::Proposed`] with the same number.
    Propose(u64, Box<Proposal>),
    /// A current read; answered by [`Output::Read`] with the same number.
    Read(u64),
}

/// What a replica wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To another replica.
    Send(ReplicaId, ReplicaMessage),
    /// To every replica that the host knows of.
    Broadcast(ReplicaMessage),
    /// Write and sync, then tell [`Input::Persisted`].
    Persist {
        /// Number of the write.
        write_id: WriteId,
        /// To be kept.
        hard_state: HardState,
        /// To be kept, where it changed.
        state: Option<Box<State>>,
    },
    /// The configuration in [`Replica::committed`] has changed.
    Committed,
    /// What became of a proposal.
    Proposed(u64, ProposalResult),
    /// The current configuration; `Err` where this replica cannot tell.
    Read(u64, Result<Option<Configuration>, NotLeader>),
}

/// This replica does not lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader;

/// What a replica does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What a leader's heartbeat says beside a state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heartbeat {
    pub term: u64,
    pub sequence: u64,
    pub last_position: LogPosition,
    pub committed: LogPosition,
    pub echoed_reading: Option<ClockReading>,
}

/// What a follower answers to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer {
    pub term: u64,
    pub sequence: u64,
    pub matched: LogPosition,
    pub received: LogPosition,
    pub clock_reading: ClockReading,
}

/// What a leader knows of another replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// Newest state of this term on its disk.
    pub matched: LogPosition,
    /// Newest heartbeat it has answered.
    pub sequence: u64,
    /// When that heartbeat was sent.
    pub contact: Option<u64>,
    /// The newest state that its present process has, on its disk or on the way there; `None`: it has not said.
    pub received: Option<LogPosition>,
    /// The state sent last, and when.
    pub sent: Option<(LogPosition, u64)>,
    /// The newest time of its own clock that it has told.
    pub clock_reading: Option<ClockReading>,
}

/// A replica that is no voter and gets every state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Learner {
    /// When it asked last.
    pub asked: u64,
    /// Whether it has a disk and wants to vote.
    pub durable: bool,
}

/// One replica of the configuration.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    pub(crate) hard_state: HardState,
    /// The newest state, on this disk or on its way there.
    pub(crate) state: State,
    pub(crate) committed: LogPosition,
    pub(crate) published: Option<Configuration>,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// When a leader of the present term was heard last.
    pub(crate) heard: Option<u64>,
    /// A time at which, or later, a majority followed that leader.
    pub(crate) current_at: Option<u64>,
    /// The newest state that the leader has called committed.
    pub(crate) told_committed: LogPosition,
    /// Drawn at the start, for marks.
    pub(crate) process: u64,
    pub(crate) election_at: u64,
    pub(crate) random: u64,
    pub(crate) votes: BTreeSet<ReplicaId>,
    /// Who has refused a vote in this candidature.
    pub(crate) refusals: BTreeSet<ReplicaId>,
    pub(crate) pre_votes: BTreeSet<ReplicaId>,
    pub(crate) peers: BTreeMap<ReplicaId, Progress>,
    pub(crate) history: History,
    pub(crate) learners: BTreeMap<ReplicaId, Learner>,
    pub(crate) sequence: u64,
    pub(crate) heartbeats: VecDeque<(u64, u64)>,
    pub(crate) heartbeat_at: u64,
    pub(crate) join_at: u64,
    pub(crate) next_ticket: u64,
    /// Writes under way: number, when begun, term and stamp they bring.
    pub(crate) writes: VecDeque<(WriteId, u64, u64, LogPosition)>,
    pub(crate) has_disk: bool,
    pub(crate) durable_term: u64,
    pub(crate) durable: LogPosition,
    pub(crate) after: VecDeque<(WriteId, PendingOnSync)>,
    pub(crate) proposals: VecDeque<(u64, Proposal)>,
    /// The proposal whose state is on its way to a majority.
    pub(crate) proposing: Option<u64>,
    pub(crate) confirming: Vec<Confirming>,
    /// Reads that came before this leader had committed anything.
    pub(crate) early: Vec<u64>,
}

impl Replica {
    /// A replica with what its disk holds, at a time in milliseconds. `random` seeds its election times. One that is
    /// not `durable` has no disk and only listens.
    pub fn new(
        settings: Settings, hard_state: HardState, state: State, now: u64, random: u64, durable: bool,
    ) -> Replica {
        let (durable_term, durable_stamp) = (hard_state.term, state.position);
        let mut replica = Replica {
            settings,
            hard_state,
            state,
            committed: LogPosition::default(),
            published: None,
            role: Role::Follower,
            leader: None,
            heard: None,
            current_at: None,
            told_committed: LogPosition::default(),
            process: random,
            election_at: 0,
            random: random | 1,
            votes: BTreeSet::new(),
            refusals: BTreeSet::new(),
            pre_votes: BTreeSet::new(),
            peers: BTreeMap::new(),
            history: History::default(),
            learners: BTreeMap::new(),
            sequence: 0,
            heartbeats: VecDeque::new(),
            heartbeat_at: 0,
            join_at: now,
            next_ticket: 1,
            writes: VecDeque::new(),
            durable_term,
            durable: durable_stamp,
            has_disk: durable,
            after: VecDeque::new(),
            proposals: VecDeque::new(),
            proposing: None,
            confirming: Vec::new(),
            early: Vec::new(),
        };
        replica.set_election_time(now);
        // After a loss of all processes nobody leads; where somebody does, the pre-votes are refused.
        replica.election_at -= settings.election_timeout_ms - settings.first_election_timeout_ms;
        replica
    }

    /// Takes one input that happened at `now` milliseconds and adds what it calls for.
    pub fn handle(&mut self, now: u64, input: Input, out: &mut Vec<Output>) {
        self.check_lease(now, out);
        match input {
            Input::Tick => {}
            Input::Message { from, message } => self.message(now, from, message, out),
            Input::Persisted(write_id) => self.persisted(now, write_id, out),
            Input::Propose(id, proposal) => self.propose(now, id, *proposal, out),
            Input::Read(id) => self.read(now, id, out),
        }
        self.due(now, out);
    }

    /// When [`Input::Tick`] is wanted at the latest.
    pub fn deadline(&self) -> u64 {
        let own = if self.role == Role::Leader { self.heartbeat_at } else { self.election_at };
        if self.wants_to_join() {
            own.min(self.join_at)
        } else {
            own
        }
    }

    /// Whether it has neither voted nor heard of any state or group.
    pub fn is_pristine(&self) -> bool {
        self.hard_state.term == 0 && self.state == State::default()
    }

    /// Who this is.
    pub fn id(&self) -> ReplicaId {
        self.hard_state.id
    }

    /// What it does.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The term it is in.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Who votes, by the newest state.
    pub fn voters(&self) -> &[ReplicaId] {
        &self.state.voters
    }

    /// Whether those voters are on a majority of disks and no change of them is under way, as far as it knows.
    pub fn is_membership_committed(&self) -> bool {
        self.committed == self.state.position && self.state.outgoing.is_empty()
    }

    /// The newest configuration known to be on a majority of disks.
    pub fn committed(&self) -> Option<&Configuration> {
        self.published.as_ref()
    }

    /// Whether it has all that was committed a moment ago, by its own contact with a majority or by its leader's.
    ///
    /// A follower goes by its own clock alone: by the newest mark that has come back from the leader, not by when a
    /// message was read, which may have waited in a slow link or in the socket of a process that slept.
    pub fn is_fresh(&self, now: u64) -> bool {
        if self.committed.term != self.hard_state.term {
            return false;
        }
        match self.role {
            Role::Leader => self.has_lease(now),
            _ => {
                self.leader.is_some()
                    && self.committed >= self.told_committed
                    && self.current_at.is_some_and(|at| now < at + self.settings.follower_lease_ms)
            }
        }
    }

    /// Whether it leads and a majority has answered lately.
    pub fn has_lease(&self, now: u64) -> bool {
        self.role == Role::Leader && now < self.majority_contact() + self.settings.leader_lease_ms
    }

    /// Ends a leadership before the process ends, and asks a voter that has everything to lead.
    pub fn transfer_leadership(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(successor) = self.successor() {
            out.push(Output::Send(successor, ReplicaMessage::TimeoutNow { term: self.hard_state.term }));
        }
        self.step_down(now, None, out);
    }

    /// The voter that has this leader's state and answered last.
    fn successor(&self) -> Option<ReplicaId> {
        let voters = self.state.voters.iter().filter(|v| **v != self.hard_state.id);
        let ready = voters
            .filter_map(|v| self.peers.get(v).filter(|p| p.matched == self.state.position).map(|p| (v, p)));
        ready.max_by_key(|(_, progress)| progress.contact).map(|(voter, _)| *voter)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.state.voters.contains(&self.hard_state.id)
    }

    /// Whether it should ask to be taken in: it is no voter, or nobody leads as far as it knows, so that it may have
    /// been taken out meanwhile.
    pub(crate) fn wants_to_join(&self) -> bool {
        self.role != Role::Leader && (!self.is_voter() || self.leader.is_none())
    }

    pub(crate) fn quorum(&self) -> Quorum<'_> {
        Quorum::of(&self.state)
    }

    /// The other voters, those of a change under way included.
    pub(crate) fn others(&self) -> Vec<ReplicaId> {
        let voters: BTreeSet<ReplicaId> =
            self.state.voters.iter().chain(&self.state.outgoing).copied().collect();
        voters.into_iter().filter(|v| *v != self.hard_state.id).collect()
    }

    /// The present time, for the leader to send back.
    pub(crate) fn clock_reading(&self, now: u64) -> ClockReading {
        ClockReading { process: self.process, time_ms: now }
    }

    fn message(&mut self, now: u64, from: ReplicaId, message: ReplicaMessage, out: &mut Vec<Output>) {
        match message {
            ReplicaMessage::RequestPreVote { term, last_position } => {
                self.pre_vote(now, from, term, last_position, out)
            }
            ReplicaMessage::RequestPreVoteResponse { term, granted } => {
                self.pre_vote_reply(now, from, term, granted, out)
            }
            ReplicaMessage::RequestVote { term, last_position, leadership_transfer } => {
                self.vote(now, from, (term, last_position, leadership_transfer), out)
            }
            ReplicaMessage::RequestVoteResponse { term, granted } => {
                self.vote_reply(now, from, term, granted, out)
            }
            ReplicaMessage::Append { term, sequence, last_position, committed, state, echoed_reading } => {
                let heartbeat = Heartbeat { term, sequence, last_position, committed, echoed_reading };
                self.append(now, from, heartbeat, state, out)
            }
            ReplicaMessage::AppendResponse { term, sequence, matched, received, clock_reading } => {
                self.append_reply(now, from, Answer { term, sequence, matched, received, clock_reading }, out)
            }
            ReplicaMessage::TimeoutNow { term } => self.take_over(now, from, term, out),
            ReplicaMessage::Join { durable } => self.join(now, from, durable),
        }
    }

    /// Writes what it must not forget; the ticket of the write.
    pub(crate) fn persist(&mut self, now: u64, with_state: bool, out: &mut Vec<Output>) -> WriteId {
        let write_id = WriteId(self.next_ticket);
        self.next_ticket += 1;
        self.writes.push_back((write_id, now, self.hard_state.term, self.state.position));
        let state = with_state.then(|| Box::new(self.state.clone()));
        out.push(Output::Persist { write_id, hard_state: self.hard_state, state });
        write_id
    }

    fn persisted(&mut self, now: u64, write_id: WriteId, out: &mut Vec<Output>) {
        while let Some((id, _, term, position)) = self.writes.front().copied() {
            if id > write_id {
                break;
            }
            self.writes.pop_front();
            (self.durable_term, self.durable) = (term, position);
        }
        while self.after.front().is_some_and(|(id, _)| *id <= write_id) {
            let Some((_, after)) = self.after.pop_front() else { break };
            self.after_write(now, after, out);
        }
        self.advance(now, out);
    }

    fn after_write(&mut self, now: u64, after: PendingOnSync, out: &mut Vec<Output>) {
        match after {
            PendingOnSync::Send(to, message) => out.push(Output::Send(to, message)),
            PendingOnSync::AppendResponse { to, term, sequence, clock_reading } => {
                if term == self.hard_state.term {
                    self.answer_append(to, (term, sequence), clock_reading, out);
                }
            }
            PendingOnSync::Campaign { term, leadership_transfer } => {
                self.campaign(now, term, leadership_transfer, out)
            }
        }
    }

    fn due(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role == Role::Leader {
            self.change_membership(now, out);
            if now >= self.heartbeat_at {
                self.heartbeat(now, out);
            }
        } else if now >= self.election_at {
            self.begin_election(now, out);
        }
        if self.wants_to_join() && now >= self.join_at {
            self.ask_to_join(now, out);
        }
    }
}
