//! Drives the consensus replica: passes it inputs from peers, tasks, the timer and the disk, and executes its outputs.

use crate::core::{Core, CoreHandle, PendingRequest};
use crate::disk::{DiskEvent, DiskWrite};
use gaugesaddle_consensus::{Departure, Input, NotLeader, Output, Proposal, ProposalResult, Replica};
use gaugesaddle_protocol::{Configuration, HardState, PeerMessage, State};
use spdlog::{info, warn};
use tokio::sync::oneshot;

impl CoreHandle {
    /// Starts the replica of a process without a disk: a learner, which receives every state and never votes, or at the
    /// first start of a seed a witness.
    pub fn start_without_disk(&self) {
        self.create_replica(None, None);
    }

    /// Creates the replica from the records on its disk, or that of the first start.
    fn create_replica(&self, hard_state: Option<HardState>, state: Option<Box<State>>) {
        let outputs = self.with(|core| {
            let Some(hard_state) = hard_state else {
                if core.may_bootstrap {
                    return core.bootstrap_replica();
                }
                core.create_replica(HardState { id: core.id, term: 0, voted_for: None }, State::default());
                return Vec::new();
            };
            core.id = hard_state.id;
            core.create_replica(hard_state, state.map(|state| *state).unwrap_or_default());
            Vec::new()
        });
        self.execute(outputs);
        self.deadline_changed.notify_one();
    }

    /// Handles an event of the disk thread.
    pub fn handle_disk_event(&self, event: DiskEvent) {
        match event {
            DiskEvent::Opened { hard_state, state } => self.handle_disk_opened(hard_state, state),
            DiskEvent::Persisted(write_id) => {
                self.with(|core| core.may_bootstrap = false);
                self.step(Input::Persisted(write_id));
            }
            DiskEvent::Failed(error) => {
                warn!("disk failed; replica stopped until the disk is reopened: {error}");
                let pending = self.with(|core| {
                    core.replica = None;
                    std::mem::take(&mut core.pending)
                });
                pending.into_values().for_each(fail_request);
                self.notify_change();
            }
        }
    }

    fn handle_disk_opened(&self, hard_state: Option<HardState>, state: Option<Box<State>>) {
        match (&hard_state, &state) {
            (Some(HardState { id, term, .. }), state) => {
                let position = state.as_ref().map(|state| state.position).unwrap_or_default();
                let voters = state.as_ref().map_or(0, |state| state.voters.len());
                info!("disk opened: replica {id}, term {term}, {position:?}, {voters} voters");
            }
            (None, _) => info!("disk opened: it is empty"),
        }
        self.create_replica(hard_state, state);
    }

    /// Passes an input to the replica and executes the resulting outputs.
    pub fn step(&self, input: Input) {
        self.drive(|replica, now, outputs| replica.handle(now, input, outputs));
    }

    /// Starts to leave the group before the process ends; a leader transfers its leadership first.
    pub fn begin_departure(&self) {
        self.drive(Replica::begin_departure);
    }

    /// The departure of the replica; `None` if there is no replica because the disk has failed, and before
    /// [`CoreHandle::begin_departure`].
    pub fn departure(&self) -> Option<Departure> {
        self.with(|core| core.replica.as_ref().and_then(Replica::departure))
    }

    fn drive(&self, act: impl FnOnce(&mut Replica, u64, &mut Vec<Output>)) {
        let mut outputs = Vec::new();
        self.with(|core| {
            let now = core.clock.now();
            let Some(replica) = &mut core.replica else { return };
            let before = (replica.role(), replica.term());
            act(replica, now, &mut outputs);
            let (role, term) = (replica.role(), replica.term());
            if before != (role, term) {
                info!("replica {} is {role:?} in term {term}", replica.id());
            }
        });
        self.execute(outputs);
        self.deadline_changed.notify_one();
    }

    fn execute(&self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => self.with(|core| {
                    let from = core.id;
                    core.peers.send(to.ip, PeerMessage::Replica { from, to: Some(to), message });
                }),
                Output::Broadcast(message) => self.with(|core| {
                    let from = core.id;
                    core.peers.broadcast(&PeerMessage::Replica { from, to: None, message });
                }),
                Output::Persist { write_id, hard_state, state } => {
                    self.persist(DiskWrite { write_id, hard_state, state });
                }
                Output::Committed => self.handle_committed(),
                Output::Proposed(number, result) => self.answer_proposal(number, result),
                Output::Read(number, result) => self.answer_read(number, result),
            }
        }
    }

    fn answer_proposal(&self, number: u64, result: ProposalResult) {
        if let Some(PendingRequest::Proposal(reply)) = self.with(|core| core.pending.remove(&number)) {
            // Fails only if the task has been cancelled.
            let _ = reply.send(result);
        }
    }

    fn answer_read(&self, number: u64, result: Result<Option<Configuration>, NotLeader>) {
        if let Some(PendingRequest::Read(reply)) = self.with(|core| core.pending.remove(&number)) {
            let _ = reply.send(result);
        }
    }

    fn persist(&self, write: DiskWrite) {
        let write_id = write.write_id;
        let is_learner = self.with(|core| match &core.disk {
            Some(disk) => {
                // The thread runs as long as the process; if it had ended, no write would be reported as durable.
                let _ = disk.send(write);
                false
            }
            None => true,
        });
        // The state of a learner need not be durable, since a learner never votes.
        if is_learner {
            self.step(Input::Persisted(write_id));
        }
    }

    fn handle_committed(&self) {
        self.with(|core| {
            let Some(newest) = core.replica.as_ref().and_then(Replica::committed) else { return };
            if !core.distributor.apply(newest) {
                return;
            }
            let Configuration { position, revision, ref document } = *newest;
            info!("configuration revision {revision} is committed at {position:?}, {} bytes", document.len());
            core.distribution_progress.record_newest(core.clock.now(), position, revision);
            // Only the leader allocates tokens, and a new leader creates its own allocator.
            if core.is_leading() {
                core.configure_allocator();
            }
        });
        self.notify_change();
    }

    /// Runs the replica's timer until the process ends.
    pub async fn run_timer(self) {
        loop {
            let deadline = self.with(|core| {
                let replica = core.replica.as_ref()?;
                Some(core.clock.instant(replica.deadline()))
            });
            match deadline {
                Some(at) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(at) => self.step(Input::Tick),
                        () = self.deadline_changed.notified() => {}
                    }
                }
                None => self.deadline_changed.notified().await,
            }
        }
    }

    /// Proposes a configuration; `Indeterminate` if this process is not the leader.
    pub async fn propose(&self, proposal: Proposal) -> ProposalResult {
        let (reply, result) = oneshot::channel();
        let number = self.add_pending(PendingRequest::Proposal(reply));
        self.step(Input::Propose(number, Box::new(proposal)));
        result.await.unwrap_or(ProposalResult::Indeterminate)
    }

    /// Reads the configuration linearizably (Raft thesis 6.4); `None` before the first one.
    ///
    /// # Errors
    ///
    /// This process is not the leader, or lost leadership before the read was confirmed.
    pub async fn read(&self) -> Result<Option<Configuration>, NotLeader> {
        let (reply, result) = oneshot::channel();
        let number = self.add_pending(PendingRequest::Read(reply));
        self.step(Input::Read(number));
        result.await.unwrap_or(Err(NotLeader))
    }

    /// Registers a request and returns its number. Without a replica the request is dropped, which ends the caller's
    /// wait.
    fn add_pending(&self, request: PendingRequest) -> u64 {
        self.with(|core| {
            let number = core.next_request;
            core.next_request += 1;
            if core.replica.is_some() {
                core.pending.insert(number, request);
            }
            number
        })
    }
}

fn fail_request(request: PendingRequest) {
    match request {
        PendingRequest::Proposal(reply) => drop(reply.send(ProposalResult::Indeterminate)),
        PendingRequest::Read(reply) => drop(reply.send(Err(NotLeader))),
    }
}

impl Core {
    /// Whether the replica had contact with a majority within its lease.
    pub fn is_fresh(&self) -> bool {
        let now = self.clock.now();
        self.replica.as_ref().is_some_and(|replica| replica.is_fresh(now))
    }

    /// Address of the leader's machine, if the replica knows the leader.
    pub fn leader(&self) -> Option<u32> {
        let leader = self.replica.as_ref()?.leader()?;
        Some(leader.ip)
    }

    /// Whether this process is the leader according to its own replica; another process may have been elected since.
    pub fn is_leading(&self) -> bool {
        self.leader() == Some(u32::from(self.boot.ip))
    }
}
