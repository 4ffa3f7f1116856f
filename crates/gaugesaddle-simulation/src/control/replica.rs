//! The consensus replica of a control process, and its disk.

use super::{ControlProcess, PendingWrite};
use crate::packet::Answer;
use crate::Millis;
use gaugesaddle_consensus::{
    disk_format, Departure, FirstStart, Input, NotLeader, Output, ProposalResult, Replica, Role, Storage,
    WriteId,
};
use gaugesaddle_log::{LogError, Ring};
use gaugesaddle_protocol::{ChangeReply, Configuration, HardState, PeerMessage, ReplicaId, ReplicaMessage};
use rand_pcg::rand_core::RngCore;

/// Delay after which a failed disk is reopened.
const REOPEN_INTERVAL_MS: Millis = 300;

fn new_hard_state(id: ReplicaId) -> HardState {
    HardState { id, term: 0, voted_for: None }
}

impl ControlProcess {
    /// Opens the disk, if there is one, and creates the replica from its records.
    pub(super) fn open_disk(&mut self, now: Millis, seeds: &[u32], is_first_start: bool) {
        let id = ReplicaId { ip: self.ip, incarnation: self.random.next_u64() | 1 };
        let (hard_state, state) = if self.has_disk {
            let Ok(ring) = Ring::open(self.disk.clone()) else { return };
            let records = disk_format::decode_slots(ring.slots()).unwrap_or((None, None));
            self.ring = Some(ring);
            records
        } else {
            (None, None)
        };
        let random = self.random.next_u64();
        let clock = self.clock(now);
        if is_first_start && hard_state.is_none() {
            let start = FirstStart { id, has_disk: self.has_disk, seeds };
            let mut outputs = Vec::new();
            self.replica = Some(Replica::bootstrap(self.settings, start, clock, random, &mut outputs));
            return self.execute(now, outputs);
        }
        let storage = if self.has_disk { Storage::Durable } else { Storage::Diskless };
        let hard_state = hard_state.unwrap_or(new_hard_state(id));
        let state = state.unwrap_or_default();
        self.replica = Some(Replica::new(self.settings, hard_state, state, clock, random, storage));
    }

    /// Starts to leave the group before the process ends, unless it has started already.
    pub fn begin_departure(&mut self, now: Millis) {
        let clock = self.clock(now);
        let mut outputs = Vec::new();
        if let Some(replica) = &mut self.replica {
            replica.begin_departure(clock, &mut outputs);
        }
        self.execute(now, outputs);
    }

    /// The departure of the replica; `None` without a replica, and before [`ControlProcess::begin_departure`].
    pub fn departure(&self) -> Option<Departure> {
        self.replica.as_ref().and_then(Replica::departure)
    }

    /// Passes an input to the replica and executes its outputs.
    pub(super) fn step(&mut self, now: Millis, input: Input) {
        let clock = self.clock(now);
        let Some(replica) = &mut self.replica else {
            return self.reject(&input);
        };
        let mut outputs = Vec::new();
        replica.handle(clock, input, &mut outputs);
        if replica.role() == Role::Leader {
            self.effects.leadership = Some((replica.term(), replica.id()));
        }
        self.execute(now, outputs);
    }

    /// Answers a request that cannot be handled because there is no replica.
    fn reject(&mut self, input: &Input) {
        match input {
            Input::Propose(number, _) => self.answer_proposal(*number, ProposalResult::Indeterminate),
            Input::Read(number) => self.answer_read(*number, Err(NotLeader)),
            _ => {}
        }
    }

    fn execute(&mut self, now: Millis, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => self.send_replica_message(to.ip, Some(to), message),
                Output::Broadcast(message) => {
                    for ip in self.known_peers.clone() {
                        self.send_replica_message(ip, None, message.clone());
                    }
                }
                Output::Persist { write_id, hard_state, state } => {
                    self.persist(now, PendingWrite { write_id, hard_state, state });
                }
                Output::Committed => self.handle_committed(),
                Output::Proposed(number, result) => self.answer_proposal(number, result),
                Output::Read(number, result) => self.answer_read(number, result),
            }
        }
    }

    fn send_replica_message(&mut self, ip: u32, to: Option<ReplicaId>, message: ReplicaMessage) {
        let Some(from) = self.replica.as_ref().map(Replica::id) else { return };
        self.send_to_peer(ip, PeerMessage::Replica { from, to, message });
    }

    fn handle_committed(&mut self) {
        let Some(newest) = self.replica.as_ref().and_then(Replica::committed).cloned() else { return };
        if self.distributor.apply(&newest) {
            self.effects.committed.push(newest);
            self.has_changes = true;
        }
    }

    fn answer_proposal(&mut self, number: u64, result: ProposalResult) {
        let Some(waiter) = self.pending.remove(&number) else { return };
        let reply = match result {
            ProposalResult::Committed => ChangeReply::Applied,
            ProposalResult::Conflict { current } => ChangeReply::Conflict { current },
            ProposalResult::StaleRevision { .. } => ChangeReply::Invalid { findings: Vec::new() },
            ProposalResult::Indeterminate => ChangeReply::Indeterminate,
        };
        self.answer(waiter, Answer::Change(reply));
    }

    fn answer_read(&mut self, number: u64, result: Result<Option<Configuration>, NotLeader>) {
        let Some(waiter) = self.pending.remove(&number) else { return };
        self.answer(waiter, Answer::Read(result));
    }

    fn persist(&mut self, now: Millis, write: PendingWrite) {
        if !self.has_disk {
            return self.step(now, Input::Persisted(write.write_id));
        }
        self.queued_writes.push_back(write);
        self.start_write();
    }

    /// Starts all queued writes, unless writes are active.
    fn start_write(&mut self) {
        if self.active_writes.is_empty() && !self.queued_writes.is_empty() {
            self.active_writes = self.queued_writes.drain(..).collect();
            self.effects.write_started = true;
        }
    }

    /// Completes the active writes.
    pub fn complete_write(&mut self, now: Millis) {
        let Some(write_id) = self.last_active_write() else { return };
        if self.append_active_writes().is_err() {
            self.stop_replica(now);
            return;
        }
        self.active_writes.clear();
        self.step(now, Input::Persisted(write_id));
        self.start_write();
        self.answer_pending(now);
    }

    fn last_active_write(&self) -> Option<WriteId> {
        self.active_writes.last().map(|write| write.write_id)
    }

    /// Appends the active writes to the ring; also called when the process ends before their completion.
    ///
    /// # Errors
    ///
    /// The disk is full or is losing power.
    pub fn append_active_writes(&mut self) -> Result<(), LogError> {
        let newest_state = self.active_writes.iter().rev().find_map(|write| write.state.as_deref());
        let (Some(last), Some(ring)) = (self.active_writes.last(), &mut self.ring) else { return Ok(()) };
        ring.append(disk_format::encode_records(&last.hard_state, newest_state))
    }

    /// Handles a failed disk: removes the replica and answers the pending calls with an indeterminate change.
    fn stop_replica(&mut self, now: Millis) {
        self.replica = None;
        self.ring = None;
        self.queued_writes.clear();
        self.active_writes.clear();
        self.reopen_disk_at = Some(now + REOPEN_INTERVAL_MS);
        for number in self.pending.keys().copied().collect::<Vec<_>>() {
            self.answer_proposal(number, ProposalResult::Indeterminate);
        }
    }
}
