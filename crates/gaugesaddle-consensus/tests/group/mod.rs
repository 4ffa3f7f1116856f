//! A simulated group of replicas in virtual time. Links delay and lose messages and can be partitioned, disks retain
//! only synced writes, processes crash, and disks are wiped. All random choices derive from one seed; [`Group::check`]
//! validates the history.
#![allow(dead_code)]

use gaugesaddle_consensus::{
    Departure, FirstStart, Input, Output, Proposal, ProposalResult, Replica, Role, Settings, Storage, WriteId,
};
use gaugesaddle_protocol::{HardState, LogPosition, ReplicaId, ReplicaMessage, State};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// The contents of a machine's disk.
#[derive(Clone, Default)]
pub struct Disk {
    pub hard_state: Option<HardState>,
    pub state: Option<State>,
}

struct PendingWrite {
    write_id: WriteId,
    hard_state: HardState,
    state: Option<Box<State>>,
    durable_at: u64,
}

pub struct Machine {
    pub replica: Option<Replica>,
    pub has_disk: bool,
    pub disk: Disk,
    writes: Vec<PendingWrite>,
    pub disk_delay_ms: u64,
    /// Virtual time at which a suspended process resumes.
    pub suspended_until: u64,
}

impl Default for Machine {
    /// A machine with an empty disk and no running process.
    fn default() -> Machine {
        Machine {
            replica: None,
            has_disk: true,
            disk: Disk::default(),
            writes: Vec::new(),
            disk_delay_ms: 3,
            suspended_until: 0,
        }
    }
}

impl Machine {
    /// A machine with an empty disk, or without one, and no running process.
    pub fn new(has_disk: bool) -> Machine {
        Machine { has_disk, ..Machine::default() }
    }
}

struct InFlight {
    arrives_at: u64,
    order: u64,
    from: ReplicaId,
    to: ReplicaId,
    message: ReplicaMessage,
}

/// A configuration change as observed by its client.
#[derive(Clone, Debug)]
pub struct Call {
    pub base: u64,
    pub revision: u64,
    pub document: Vec<u8>,
    pub started_at: u64,
    pub ended: Option<(u64, ProposalResult)>,
}

/// A linearizable read as observed by its client.
#[derive(Clone, Debug)]
pub struct ReadCall {
    pub started_at: u64,
    pub ended: Option<(u64, u64)>,
}

pub struct Group {
    pub now: u64,
    pub random: Pcg64Mcg,
    pub machines: BTreeMap<u32, Machine>,
    in_flight: Vec<InFlight>,
    order: u64,
    /// Directed links (sender, receiver) that drop all messages.
    pub partitioned: BTreeSet<(u32, u32)>,
    pub loss_percent: u64,
    pub calls: BTreeMap<u64, Call>,
    pub reads: BTreeMap<u64, ReadCall>,
    next_call: u64,
    /// The leader of each term.
    pub leaders: BTreeMap<u64, ReplicaId>,
    /// Revision and document that were reported as committed at each position.
    pub committed: BTreeMap<LogPosition, (u64, Vec<u8>)>,
    pub violations: Vec<String>,
    seeds: Vec<u32>,
    settings: Settings,
}

impl Group {
    /// A group that tolerates the loss of one machine.
    pub fn new(seed: u64, size: u32, bootstrap_voters: u32) -> Group {
        Group::tolerating(1, seed, size, bootstrap_voters)
    }

    /// A group that tolerates the loss of `losses` machines.
    pub fn tolerating(losses: usize, seed: u64, size: u32, bootstrap_voters: u32) -> Group {
        let mut group = Group::without_processes(losses, seed, (1..=bootstrap_voters).collect());
        for ip in 1..=size {
            group.machines.insert(ip, Machine::default());
            group.start(ip, true);
        }
        group
    }

    /// A group that tolerates the loss of `losses` machines, of which none has been started yet.
    pub fn without_processes(losses: usize, seed: u64, seeds: Vec<u32>) -> Group {
        let settings = Settings { min_voters: 2 * losses + 1, ..Settings::default() };
        Group {
            now: 1000,
            random: Pcg64Mcg::seed_from_u64(seed),
            machines: BTreeMap::new(),
            in_flight: Vec::new(),
            order: 0,
            partitioned: BTreeSet::new(),
            loss_percent: 0,
            calls: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_call: 1,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violations: Vec::new(),
            seeds,
            settings,
        }
    }

    /// A group of `size` machines, all of them voters, that tolerates the loss of `losses` machines and has a leader.
    pub fn formed(losses: usize, seed: u64, size: u32) -> Group {
        let mut group = Group::tolerating(losses, seed, size, size.min(3));
        group.run_until_leader(5000).expect("a leader should be elected");
        group.run(3000);
        assert_eq!(group.voting_machines().len(), size as usize, "seed {seed}");
        group
    }

    /// Whether a leader is elected within `within_ms` and commits a change within another second.
    pub fn commits_change(&mut self, within_ms: u64) -> bool {
        let Some(leader) = self.run_until_leader(within_ms) else { return false };
        let base = self.revision(leader);
        let id = self.propose(leader, base, base + 1, vec![base as u8]);
        self.run(1000);
        matches!(self.calls[&id].ended, Some((_, ProposalResult::Committed)))
    }

    pub fn random_below(&mut self, n: u64) -> u64 {
        self.random.next_u64() % n.max(1)
    }

    /// Starts a machine's process from the contents of its disk; `bootstrap`: if the disk is empty, this is the first start
    /// of the whole fleet.
    pub fn start(&mut self, ip: u32, bootstrap: bool) {
        let random = self.random.next_u64();
        let (now, settings) = (self.now, self.settings);
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        machine.writes.clear();
        let id = ReplicaId { ip, incarnation: random | 1 };
        let stored = machine.disk.hard_state;
        if bootstrap && stored.is_none() {
            let start = FirstStart { id, has_disk: machine.has_disk, seeds: &self.seeds };
            let mut outputs = Vec::new();
            let replica = Replica::bootstrap(settings, start, now, random, &mut outputs);
            let id = replica.id();
            machine.replica = Some(replica);
            outputs.into_iter().for_each(|output| self.apply_output(ip, id, output));
            return;
        }
        let storage = if machine.has_disk { Storage::Durable } else { Storage::Diskless };
        let hard_state = stored.unwrap_or(HardState { id, term: 0, voted_for: None });
        let state = machine.disk.state.clone().unwrap_or_default();
        machine.replica = Some(Replica::new(settings, hard_state, state, now, random, storage));
    }

    /// Adds a machine with an empty disk and starts its process.
    pub fn add(&mut self, ip: u32) {
        self.machines.insert(ip, Machine::default());
        self.start(ip, false);
    }

    /// Transfers leadership from a machine, as before a planned shutdown.
    pub fn transfer_leadership(&mut self, ip: u32) {
        self.drive(ip, Replica::transfer_leadership);
    }

    /// Tells a machine's replica to leave the group, as before a planned end.
    pub fn begin_departure(&mut self, ip: u32) {
        self.drive(ip, Replica::begin_departure);
    }

    fn drive(&mut self, ip: u32, act: impl FnOnce(&mut Replica, u64, &mut Vec<Output>)) {
        let now = self.now;
        let Some(replica) = self.machines.get_mut(&ip).and_then(|m| m.replica.as_mut()) else { return };
        let (id, mut outputs) = (replica.id(), Vec::new());
        act(replica, now, &mut outputs);
        for output in outputs {
            self.apply_output(ip, id, output);
        }
    }

    /// The departure of a machine's replica.
    pub fn departure(&self, ip: u32) -> Option<Departure> {
        self.machines.get(&ip)?.replica.as_ref()?.departure()
    }

    /// The replica of the machine returned by [`Group::leader`].
    pub fn leading_replica(&self) -> Option<&Replica> {
        self.machines.get(&self.leader()?)?.replica.as_ref()
    }

    /// Machines of the voters in the leader's state.
    pub fn voting_machines(&self) -> BTreeSet<u32> {
        self.leading_replica()
            .into_iter()
            .flat_map(gaugesaddle_consensus::Replica::voters)
            .map(|v| v.ip)
            .collect()
    }

    /// Crashes a process; an unsynced write may or may not reach the disk.
    pub fn crash(&mut self, ip: u32) {
        let first_write_survives = self.random_below(2) == 0;
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        machine.replica = None;
        // Writes complete in order; at most the first one reaches the disk.
        if first_write_survives {
            if let Some(write) = machine.writes.first() {
                machine.disk.hard_state = Some(write.hard_state);
                if let Some(state) = &write.state {
                    machine.disk.state = Some(*state.clone());
                }
            }
        }
        machine.writes.clear();
    }

    /// Removes a machine for good, without a word.
    pub fn remove(&mut self, ip: u32) {
        self.crash(ip);
        self.machines.remove(&ip);
    }

    /// Erases a machine's disk.
    pub fn wipe(&mut self, ip: u32) {
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.disk = Disk::default();
        }
    }

    /// The machine whose replica leads with a valid lease.
    pub fn leader(&self) -> Option<u32> {
        let leads = |m: &Machine| m.replica.as_ref().is_some_and(|r| r.has_lease(self.now));
        self.machines.iter().find(|(_, m)| leads(m)).map(|(ip, _)| *ip)
    }

    /// The newest revision reported as committed by a machine's replica; 0 without one.
    pub fn revision(&self, ip: u32) -> u64 {
        let replica = self.machines.get(&ip).and_then(|m| m.replica.as_ref());
        replica.and_then(|r| r.committed()).map_or(0, |c| c.revision)
    }

    /// Sends an operator's change to a machine; returns the number of the call.
    pub fn propose(&mut self, ip: u32, base: u64, revision: u64, document: Vec<u8>) -> u64 {
        let id = self.next_call;
        self.next_call += 1;
        let call = Call { base, revision, document: document.clone(), started_at: self.now, ended: None };
        self.calls.insert(id, call);
        let proposal = Proposal::new(base, revision, document);
        self.input(ip, Input::Propose(id, Box::new(proposal)));
        id
    }

    /// Sends a linearizable read to a machine; returns the number of the call.
    pub fn read(&mut self, ip: u32) -> u64 {
        let id = self.next_call;
        self.next_call += 1;
        self.reads.insert(id, ReadCall { started_at: self.now, ended: None });
        self.input(ip, Input::Read(id));
        id
    }

    fn input(&mut self, ip: u32, input: Input) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&ip).filter(|m| m.suspended_until <= now) else { return };
        let Some(replica) = &mut machine.replica else { return };
        let mut outputs = Vec::new();
        replica.handle(now, input, &mut outputs);
        let (id, term, leads) = (replica.id(), replica.term(), replica.role() == Role::Leader);
        if leads {
            let first = *self.leaders.entry(term).or_insert(id);
            if first != id {
                self.violations.push(format!("term {term} has two leaders: {first} and {id}"));
            }
        }
        for output in outputs {
            self.apply_output(ip, id, output);
        }
    }

    fn apply_output(&mut self, ip: u32, id: ReplicaId, output: Output) {
        match output {
            Output::Send(to, message) => self.send(id, to, message),
            Output::Broadcast(message) => {
                let others: Vec<u32> = self.machines.keys().copied().filter(|o| *o != ip).collect();
                for other in others {
                    self.send(id, ReplicaId { ip: other, incarnation: 0 }, message.clone());
                }
            }
            Output::Persist { write_id, .. } if self.machines.get(&ip).is_some_and(|m| !m.has_disk) => {
                self.input(ip, Input::Persisted(write_id));
            }
            Output::Persist { write_id, hard_state, state } => {
                let now = self.now;
                if let Some(machine) = self.machines.get_mut(&ip) {
                    let last = machine.writes.last().map_or(now, |w| w.durable_at);
                    let durable_at = last.max(now) + machine.disk_delay_ms;
                    machine.writes.push(PendingWrite { write_id, hard_state, state, durable_at });
                }
            }
            Output::Committed => self.record_committed(ip),
            Output::Proposed(id, result) => {
                let now = self.now;
                if let Some(call) = self.calls.get_mut(&id) {
                    call.ended = Some((now, result));
                }
            }
            Output::Read(id, Ok(configuration)) => {
                let now = self.now;
                if let Some(read) = self.reads.get_mut(&id) {
                    read.ended = Some((now, configuration.map_or(0, |c| c.revision)));
                }
            }
            Output::Read(..) => {}
        }
    }

    fn record_committed(&mut self, ip: u32) {
        let replica = self.machines.get(&ip).and_then(|m| m.replica.as_ref());
        let Some(c) = replica.and_then(|r| r.committed()).cloned() else { return };
        let reported = (c.revision, c.document.clone());
        let first = self.committed.entry(c.position).or_insert_with(|| reported.clone());
        if *first != reported {
            self.violations.push(format!(
                "two states are committed at {:?}: revisions {} and {}",
                c.position, first.0, reported.0
            ));
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        let is_lost = self.loss_percent > 0 && self.random_below(100) < self.loss_percent;
        if is_lost || self.partitioned.contains(&(from.ip, to.ip)) {
            return;
        }
        let arrives_at = self.now + 1 + self.random_below(4);
        self.order += 1;
        self.in_flight.push(InFlight { arrives_at, order: self.order, from, to, message });
    }

    /// Advances the virtual time by `span` milliseconds.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.deliver();
            self.finish_writes();
            let due: Vec<u32> = self.machines.keys().copied().collect();
            for ip in due {
                let deadline = self
                    .machines
                    .get(&ip)
                    .and_then(|m| m.replica.as_ref())
                    .map(gaugesaddle_consensus::Replica::deadline);
                if deadline.is_some_and(|at| at <= self.now) {
                    self.input(ip, Input::Tick);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, later): (Vec<InFlight>, Vec<InFlight>) =
            self.in_flight.drain(..).partition(|f| f.arrives_at <= now);
        self.in_flight = later;
        due.sort_by_key(|f| (f.arrives_at, f.order));
        for flight in due {
            if !self.partitioned.contains(&(flight.from.ip, flight.to.ip)) {
                self.input(flight.to.ip, Input::Message { from: flight.from, message: flight.message });
            }
        }
    }

    fn finish_writes(&mut self) {
        let now = self.now;
        let mut done = Vec::new();
        for (ip, machine) in &mut self.machines {
            while machine.writes.first().is_some_and(|w| w.durable_at <= now) {
                let write = machine.writes.remove(0);
                machine.disk.hard_state = Some(write.hard_state);
                if let Some(state) = write.state {
                    machine.disk.state = Some(*state);
                }
                done.push((*ip, write.write_id));
            }
        }
        for (ip, write_id) in done {
            self.input(ip, Input::Persisted(write_id));
        }
    }

    /// Runs until a leader is elected, for at most `limit` milliseconds; returns the leader's machine.
    pub fn run_until_leader(&mut self, limit: u64) -> Option<u32> {
        let end = self.now + limit;
        while self.now < end {
            self.run(10);
            if let Some(ip) = self.leader() {
                return Some(ip);
            }
        }
        None
    }

    /// Checks the history; returns the violations of the guarantees.
    pub fn check(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        let positions: Vec<(&LogPosition, &(u64, Vec<u8>))> = self.committed.iter().collect();
        for pair in positions.windows(2) {
            let ((older, a), (newer, b)) = (pair[0], pair[1]);
            if b.0 < a.0 {
                violations.push(format!(
                    "revision decreased: {newer:?} has revision {}, {older:?} had {}",
                    b.0, a.0
                ));
            }
        }
        let committed: BTreeMap<u64, &Vec<u8>> = self.committed.values().map(|(r, d)| (*r, d)).collect();
        let mut bases: BTreeMap<u64, u64> = BTreeMap::new();
        for (id, call) in &self.calls {
            let Some((_, result)) = &call.ended else { continue };
            let is_committed = committed.get(&call.revision).is_some_and(|d| **d == call.document);
            if *result == ProposalResult::Committed && !is_committed {
                violations.push(format!(
                    "call {id}: revision {} was confirmed but is not committed",
                    call.revision
                ));
            }
            let rejected =
                matches!(result, ProposalResult::Conflict { .. } | ProposalResult::StaleRevision { .. });
            if rejected && is_committed {
                violations
                    .push(format!("call {id}: revision {} was rejected but is committed", call.revision));
            }
            if *result == ProposalResult::Committed {
                if let Some(other) = bases.insert(call.base, call.revision).filter(|o| *o != call.revision) {
                    let latest = call.revision;
                    violations.push(format!(
                        "revisions {other} and {latest} were both confirmed on base {}",
                        call.base
                    ));
                }
            }
        }
        for (id, read) in &self.reads {
            let Some((_, revision)) = read.ended else { continue };
            let confirmed_before = self.calls.values().filter(
                |c| matches!(&c.ended, Some((at, ProposalResult::Committed)) if *at <= read.started_at),
            );
            let newest = confirmed_before.map(|c| c.revision).max().unwrap_or(0);
            if revision < newest {
                violations.push(format!(
                    "read {id}: stale revision {revision}, although {newest} was confirmed before"
                ));
            }
        }
        violations
    }
}
