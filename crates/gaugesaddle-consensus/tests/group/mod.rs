//! A group of the shipped replicas in virtual time: links that delay, lose and are cut, disks that keep only what was
//! synced, crashes, wiped disks. Everything draws from one seed; the history is checked afterwards.
#![allow(dead_code)]

use gaugesaddle_consensus::{Input, Output, Proposal, ProposalResult, Replica, Role, Settings, WriteId};
use gaugesaddle_protocol::{HardState, LogPosition, ReplicaId, ReplicaMessage, State};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// What a machine's disk holds.
#[derive(Clone, Default)]
pub struct Disk {
    pub hard_state: Option<HardState>,
    pub state: Option<State>,
}

struct PendingWrite {
    write_id: WriteId,
    hard_state: HardState,
    state: Option<Box<State>>,
    done: u64,
}

pub struct Machine {
    pub replica: Option<Replica>,
    pub disk: Disk,
    writes: Vec<PendingWrite>,
    /// Counts starts, so that messages to an earlier process are lost.
    pub life: u64,
    pub disk_delay: u64,
    /// Virtual time from which it runs again after a freeze.
    pub frozen_until: u64,
}

impl Default for Machine {
    /// An empty machine whose process does not run.
    fn default() -> Machine {
        Machine {
            replica: None,
            disk: Disk::default(),
            writes: Vec::new(),
            life: 0,
            disk_delay: 3,
            frozen_until: 0,
        }
    }
}

struct Flight {
    at: u64,
    order: u64,
    from: ReplicaId,
    to: ReplicaId,
    message: ReplicaMessage,
}

/// An operator's call as it was seen from outside.
#[derive(Clone, Debug)]
pub struct Call {
    pub base: u64,
    pub revision: u64,
    pub document: Vec<u8>,
    pub begun: u64,
    pub ended: Option<(u64, ProposalResult)>,
}

/// A current read as it was seen from outside.
#[derive(Clone, Debug)]
pub struct ReadCall {
    pub begun: u64,
    pub ended: Option<(u64, u64)>,
}

pub struct Group {
    pub now: u64,
    pub random: Pcg64Mcg,
    pub machines: BTreeMap<u32, Machine>,
    flights: Vec<Flight>,
    order: u64,
    pub cut: BTreeSet<(u32, u32)>,
    pub loss: u64,
    pub calls: BTreeMap<u64, Call>,
    pub reads: BTreeMap<u64, ReadCall>,
    next_call: u64,
    /// Who led in each term.
    pub leaders: BTreeMap<u64, ReplicaId>,
    /// What was reported as committed at each stamp.
    pub committed: BTreeMap<LogPosition, (u64, Vec<u8>)>,
    pub violations: Vec<String>,
    founders: Vec<ReplicaId>,
    settings: Settings,
}

impl Group {
    /// A group that bears the loss of one machine.
    pub fn new(seed: u64, size: u32, founders: u32) -> Group {
        Group::tolerating(1, seed, size, founders)
    }

    /// A group that bears the loss of so many machines.
    pub fn tolerating(losses: usize, seed: u64, size: u32, founders: u32) -> Group {
        let settings = Settings { min_voters: 2 * losses + 1, ..Settings::default() };
        let founders: Vec<ReplicaId> = (1..=founders).map(|ip| ReplicaId { ip, incarnation: 0 }).collect();
        let mut group = Group {
            now: 1000,
            random: Pcg64Mcg::seed_from_u64(seed),
            machines: BTreeMap::new(),
            flights: Vec::new(),
            order: 0,
            cut: BTreeSet::new(),
            loss: 0,
            calls: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_call: 1,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violations: Vec::new(),
            founders,
            settings,
        };
        for ip in 1..=size {
            group.machines.insert(ip, Machine::default());
            group.start(ip, true);
        }
        group
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.random.next_u64() % n.max(1)
    }

    /// Starts a machine's process with what its disk holds.
    pub fn start(&mut self, ip: u32, bootstrap: bool) {
        let seed = self.random.next_u64();
        let (now, founders, settings) = (self.now, self.founders.clone(), self.settings);
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        let bootstrap = bootstrap && founders.iter().any(|f| f.ip == ip);
        let incarnation = if bootstrap { 0 } else { seed | 1 };
        let hard_state = machine.disk.hard_state.unwrap_or(HardState {
            id: ReplicaId { ip, incarnation },
            term: 0,
            voted_for: None,
        });
        let first = if bootstrap { State { voters: founders, ..State::default() } } else { State::default() };
        let state = machine.disk.state.clone().unwrap_or(first);
        machine.life += 1;
        machine.writes.clear();
        machine.replica = Some(Replica::new(settings, hard_state, state, now, seed, true));
    }

    /// Adds an empty machine; its process starts.
    pub fn add(&mut self, ip: u32) {
        self.machines.insert(ip, Machine::default());
        self.start(ip, false);
    }

    /// Ends a process in order: it hands its leadership over.
    pub fn transfer_leadership(&mut self, ip: u32) {
        let now = self.now;
        let Some(replica) = self.machines.get_mut(&ip).and_then(|m| m.replica.as_mut()) else { return };
        let (me, mut outputs) = (replica.id(), Vec::new());
        replica.transfer_leadership(now, &mut outputs);
        for output in outputs {
            self.carry_out(ip, me, output);
        }
    }

    /// The replica that leads.
    pub fn leading(&self) -> Option<&Replica> {
        self.machines.get(&self.leader()?)?.replica.as_ref()
    }

    /// Machines whose replicas vote, by the leader's word.
    pub fn voting(&self) -> BTreeSet<u32> {
        self.leading().into_iter().flat_map(|r| r.voters()).map(|v| v.ip).collect()
    }

    /// Ends a process; what was not synced may or may not be on the disk.
    pub fn crash(&mut self, ip: u32) {
        let lucky = self.below(2) == 0;
        let Some(machine) = self.machines.get_mut(&ip) else { return };
        machine.replica = None;
        // Writes reach the disk in order: some first part of them.
        if lucky {
            if let Some(write) = machine.writes.first() {
                machine.disk.hard_state = Some(write.hard_state);
                if let Some(state) = &write.state {
                    machine.disk.state = Some(*state.clone());
                }
            }
        }
        machine.writes.clear();
    }

    pub fn wipe(&mut self, ip: u32) {
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.disk = Disk::default();
        }
    }

    pub fn leader(&self) -> Option<u32> {
        let leads = |m: &Machine| m.replica.as_ref().is_some_and(|r| r.has_lease(self.now));
        self.machines.iter().find(|(_, m)| leads(m)).map(|(ip, _)| *ip)
    }

    /// The revision that a machine holds as committed.
    pub fn revision(&self, ip: u32) -> u64 {
        let replica = self.machines.get(&ip).and_then(|m| m.replica.as_ref());
        replica.and_then(|r| r.committed()).map_or(0, |c| c.revision)
    }

    /// An operator's order to a machine; the number of the call.
    pub fn propose(&mut self, ip: u32, base: u64, revision: u64, document: Vec<u8>) -> u64 {
        let id = self.next_call;
        self.next_call += 1;
        let call = Call { base, revision, document: document.clone(), begun: self.now, ended: None };
        self.calls.insert(id, call);
        let proposal = Proposal::new(base, revision, document);
        self.input(ip, Input::Propose(id, Box::new(proposal)));
        id
    }

    pub fn read(&mut self, ip: u32) -> u64 {
        let id = self.next_call;
        self.next_call += 1;
        self.reads.insert(id, ReadCall { begun: self.now, ended: None });
        self.input(ip, Input::Read(id));
        id
    }

    fn input(&mut self, ip: u32, input: Input) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&ip).filter(|m| m.frozen_until <= now) else { return };
        let Some(replica) = &mut machine.replica else { return };
        let mut outputs = Vec::new();
        replica.handle(now, input, &mut outputs);
        let (me, term, leads) = (replica.id(), replica.term(), replica.role() == Role::Leader);
        if leads {
            let first = *self.leaders.entry(term).or_insert(me);
            if first != me {
                self.violations.push(format!("term {term}: {first} and {me} lead"));
            }
        }
        for output in outputs {
            self.carry_out(ip, me, output);
        }
    }

    fn carry_out(&mut self, ip: u32, me: ReplicaId, output: Output) {
        match output {
            Output::Send(to, message) => self.send(me, to, message),
            Output::Broadcast(message) => {
                let others: Vec<u32> = self.machines.keys().copied().filter(|o| *o != ip).collect();
                for other in others {
                    self.send(me, ReplicaId { ip: other, incarnation: 0 }, message.clone());
                }
            }
            Output::Persist { write_id, hard_state, state } => {
                let now = self.now;
                if let Some(machine) = self.machines.get_mut(&ip) {
                    let last = machine.writes.last().map_or(now, |w| w.done);
                    let done = last.max(now) + machine.disk_delay;
                    machine.writes.push(PendingWrite { write_id, hard_state, state, done });
                }
            }
            Output::Committed => self.note_committed(ip),
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

    fn note_committed(&mut self, ip: u32) {
        let replica = self.machines.get(&ip).and_then(|m| m.replica.as_ref());
        let Some(c) = replica.and_then(|r| r.committed()).cloned() else { return };
        let told = (c.revision, c.document.clone());
        let first = self.committed.entry(c.position).or_insert_with(|| told.clone());
        if *first != told {
            self.violations.push(format!("{:?}: revisions {} and {}", c.position, first.0, told.0));
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        let lost = self.loss > 0 && self.below(100) < self.loss;
        if lost || self.cut.contains(&(from.ip, to.ip)) {
            return;
        }
        let at = self.now + 1 + self.below(4);
        self.order += 1;
        self.flights.push(Flight { at, order: self.order, from, to, message });
    }

    /// Lets so many milliseconds pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1;
            self.deliver();
            self.finish_writes();
            let due: Vec<u32> = self.machines.keys().copied().collect();
            for ip in due {
                let deadline = self.machines.get(&ip).and_then(|m| m.replica.as_ref()).map(|r| r.deadline());
                if deadline.is_some_and(|at| at <= self.now) {
                    self.input(ip, Input::Tick);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, later): (Vec<Flight>, Vec<Flight>) = self.flights.drain(..).partition(|f| f.at <= now);
        self.flights = later;
        due.sort_by_key(|f| (f.at, f.order));
        for flight in due {
            if !self.cut.contains(&(flight.from.ip, flight.to.ip)) {
                self.input(flight.to.ip, Input::Message { from: flight.from, message: flight.message });
            }
        }
    }

    fn finish_writes(&mut self) {
        let now = self.now;
        let mut done = Vec::new();
        for (ip, machine) in &mut self.machines {
            while machine.writes.first().is_some_and(|w| w.done <= now) {
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

    /// Runs until somebody leads, for a time at most.
    pub fn run_to_leader(&mut self, most: u64) -> Option<u32> {
        let end = self.now + most;
        while self.now < end {
            self.run(10);
            if let Some(ip) = self.leader() {
                return Some(ip);
            }
        }
        None
    }

    /// Everything that the history must satisfy.
    pub fn check(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        let stamps: Vec<(&LogPosition, &(u64, Vec<u8>))> = self.committed.iter().collect();
        for pair in stamps.windows(2) {
            let ((older, a), (newer, b)) = (pair[0], pair[1]);
            if b.0 < a.0 {
                violations.push(format!("{newer:?} has revision {}, {older:?} had {}", b.0, a.0));
            }
        }
        let in_force: BTreeMap<u64, &Vec<u8>> = self.committed.values().map(|(r, d)| (*r, d)).collect();
        let mut bases: BTreeMap<u64, u64> = BTreeMap::new();
        for (id, call) in &self.calls {
            let Some((_, result)) = &call.ended else { continue };
            let held = in_force.get(&call.revision).is_some_and(|d| **d == call.document);
            if *result == ProposalResult::Committed && !held {
                violations.push(format!("call {id}: revision {} taken and lost", call.revision));
            }
            let refused =
                matches!(result, ProposalResult::Conflict { .. } | ProposalResult::StaleRevision { .. });
            if refused && held {
                violations.push(format!("call {id}: revision {} refused and in force", call.revision));
            }
            if *result == ProposalResult::Committed {
                if let Some(other) = bases.insert(call.base, call.revision).filter(|o| *o != call.revision) {
                    let both = call.revision;
                    violations.push(format!("revisions {other} and {both} both taken on {}", call.base));
                }
            }
        }
        for (id, read) in &self.reads {
            let Some((_, seen)) = read.ended else { continue };
            let taken_before = self
                .calls
                .values()
                .filter(|c| matches!(&c.ended, Some((at, ProposalResult::Committed)) if *at <= read.begun));
            let newest = taken_before.map(|c| c.revision).max().unwrap_or(0);
            if seen < newest {
                violations.push(format!("read {id}: saw {seen}, {newest} was taken before"));
            }
        }
        violations
    }
}
