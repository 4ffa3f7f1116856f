//! A control process: the host of the shipped state machines, over made-up links, disk and clock.

use crate::disk::Disk;
use crate::network::Node;
use crate::Millis;
use gaugesaddle_catalog::{Acknowledgement, AcknowledgementDecision, CatalogReplica};
use gaugesaddle_consensus::{
    disk_format, Input, NotLeader, Output, ProposalResult, Replica, Role, Settings, WriteId,
};
use gaugesaddle_distribution::{Distributor, ReplicaStatus};
use gaugesaddle_log::Ring;
use gaugesaddle_protocol::{
    ChangeReply, Configuration, ConfigurationChange, HardState, LogPosition, Origin, PeerMessage, Pull,
    PullReply, Registration, ReplicaId, ReplicaMessage, State,
};
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What each process's clock shows when it begins: clocks of two processes never agree.
const CLOCK_BEGINS: Millis = 1_000_000;
/// Between two rounds of upkeep.
const UPKEEP: Millis = 1000;
/// An order or a read has so long to be answered.
const ANSWER: Millis = 900;
/// A proxy's call is held back at most so long.
const MAX_WAIT: Millis = 2000;
/// Between two looks at the acknowledgements of a held call.
const LOOK: Millis = 3;
/// A disk that refused is opened anew after so long.
const REOPEN: Millis = 300;
/// A backend's lease.
const BACKEND_LEASE: Millis = 4200;

/// A call to a control process.
#[derive(Clone, Debug)]
pub enum Call {
    /// A proxy renews its lease and asks for news.
    Pull(Box<Pull>),
    /// An operator's order, or one passed on.
    Change(Box<ConfigurationChange>),
    /// A read of the configuration, or one passed on.
    Read,
    /// A backend's heartbeat.
    Heartbeat(Box<Registration>),
    /// A backend has left.
    Deregister(String),
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Answer {
    /// To `Pull`.
    Pull(Box<PullReply>),
    /// To `ConfigurationChange`.
    Change(ChangeReply),
    /// To `Read`; `Err`: nobody can tell.
    Read(Result<Option<Configuration>, NotLeader>),
    /// To `Heartbeat` and `Deregister`: whether it is acknowledged.
    Registered(bool),
}

/// What travels.
#[derive(Clone, Debug)]
pub enum Packet {
    /// Opens a connection between control processes.
    Hello {
        /// Counts the processes of the sender's machine.
        life: u64,
        /// What the sender counts its changes under.
        origin: Origin,
        /// Machines that it knows to serve control.
        members: Vec<u32>,
    },
    /// On such a connection.
    Peer {
        /// Counts the processes of the sender's machine.
        life: u64,
        /// What the sender counts its changes under.
        origin: Origin,
        /// What it says.
        message: Box<PeerMessage>,
    },
    /// A call.
    Call {
        /// Its number, which the answer bears.
        id: u64,
        /// What is asked.
        call: Call,
    },
    /// An answer.
    Answer {
        /// The number of the call.
        id: u64,
        /// What is answered.
        answer: Answer,
    },
}

/// Whom an answer is for.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    caller: Node,
    id: u64,
    until: Millis,
}

/// A proxy's call that waits for news.
#[derive(Debug)]
struct HeldPull {
    waiter: Waiter,
    pull: Box<Pull>,
}

/// A backend's call that waits to be acknowledged.
#[derive(Debug)]
struct HeldCall {
    waiter: Waiter,
    acknowledgement: Acknowledgement,
}

/// A write that waits for the disk.
#[derive(Debug)]
struct PendingWrite {
    write_id: WriteId,
    hard_state: HardState,
    state: Option<Box<State>>,
}

/// What a step of a process brings about.
#[derive(Debug, Default)]
pub struct Effects {
    /// Packets to send.
    pub packets: Vec<(Node, Packet)>,
    /// The disk has begun a write.
    pub disk_begins: bool,
    /// Who leads which term.
    pub leads: Option<(u64, ReplicaId)>,
    /// A configuration that this process calls committed.
    pub committed: Vec<Configuration>,
    /// What it told a proxy while it called itself current.
    pub fresh_answers: Vec<Option<LogPosition>>,
}

/// A control process.
pub struct Process {
    ip: u32,
    life: u64,
    started: Millis,
    has_disk: bool,
    /// The replica; none while the disk refuses.
    pub replica: Option<Replica>,
    /// Its part in the catalog.
    pub catalog_replica: CatalogReplica,
    /// The configuration in force.
    pub distributor: Distributor,
    settings: Settings,
    ring: Option<Ring<Disk>>,
    disk: Disk,
    writes: VecDeque<PendingWrite>,
    writing: Vec<PendingWrite>,
    reopen_at: Option<Millis>,
    known: BTreeSet<u32>,
    register_peer: BTreeMap<u32, u64>,
    /// Proposals and reads at the own replica.
    waiting: BTreeMap<u64, Waiter>,
    /// Calls passed on to the leader, by their number there.
    forwarded: BTreeMap<u64, Waiter>,
    next_number: u64,
    pulls: Vec<HeldPull>,
    calls: Vec<HeldCall>,
    upkeep_at: Millis,
    random: Pcg64Mcg,
    effects: Effects,
    news: bool,
}

/// How a process begins.
pub struct Start {
    /// Its machine.
    pub ip: u32,
    /// Counts the processes of that machine.
    pub life: u64,
    /// The machine's disk, empty and unused where it has none.
    pub disk: Disk,
    /// Whether it has one.
    pub has_disk: bool,
    /// The founders, at the first start.
    pub founders: Option<Vec<ReplicaId>>,
    /// Machines that serve control, from the boot file.
    pub seeds: Vec<u32>,
    /// The replicas' times and bounds.
    pub settings: Settings,
    /// Draws what the process draws.
    pub random: Pcg64Mcg,
}

impl Process {
    /// A process that begins now.
    pub fn start(now: Millis, mut start: Start) -> Process {
        let origin = Origin(start.random.next_u64());
        let mut process = Process {
            ip: start.ip,
            life: start.life,
            started: now,
            has_disk: start.has_disk,
            replica: None,
            catalog_replica: CatalogReplica::new(CLOCK_BEGINS, origin, BACKEND_LEASE),
            distributor: Distributor::default(),
            settings: start.settings,
            ring: None,
            disk: start.disk,
            writes: VecDeque::new(),
            writing: Vec::new(),
            reopen_at: None,
            known: start.seeds.into_iter().filter(|ip| *ip != start.ip).collect(),
            register_peer: BTreeMap::new(),
            waiting: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            // Numbers of one process are never those of another.
            next_number: u64::from(start.ip) << 40 | start.life << 24,
            pulls: Vec::new(),
            calls: Vec::new(),
            upkeep_at: now + UPKEEP,
            random: start.random,
            effects: Effects::default(),
            news: false,
        };
        process.open(now, start.founders);
        process
    }

    fn clock(&self, now: Millis) -> Millis {
        CLOCK_BEGINS + now - self.started
    }

    fn open(&mut self, now: Millis, founders: Option<Vec<ReplicaId>>) {
        let drawn = ReplicaId { ip: self.ip, incarnation: self.random.next_u64() | 1 };
        let fresh = |me| HardState { id: me, term: 0, voted_for: None };
        let (hard_state, state) = if self.has_disk {
            let Ok(ring) = Ring::open(self.disk.clone()) else { return };
            let (hard_state, state) = disk_format::read(ring.slots()).unwrap_or((None, None));
            self.ring = Some(ring);
            let bootstrap_node = ReplicaId { ip: self.ip, incarnation: 0 };
            let founds = founders.filter(|f| f.contains(&bootstrap_node) && hard_state.is_none());
            match founds {
                Some(voters) => (fresh(bootstrap_node), State { voters, ..State::default() }),
                None => (hard_state.unwrap_or(fresh(drawn)), state.unwrap_or_default()),
            }
        } else {
            (fresh(drawn), State::default())
        };
        let random = self.random.next_u64();
        self.replica =
            Some(Replica::new(self.settings, hard_state, state, self.clock(now), random, self.has_disk));
    }

    /// What has come about since this was asked last.
    pub fn effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// When it wants to be woken at the latest.
    pub fn deadline(&self) -> Millis {
        let replica = self.replica.as_ref().map(|r| r.deadline() - CLOCK_BEGINS + self.started);
        let pulls = self.pulls.iter().map(|held| held.waiter.until);
        let held = self.waiting.values().chain(self.forwarded.values()).map(|waiter| waiter.until);
        let times = pulls.chain(held).chain(replica).chain(self.reopen_at).chain([self.upkeep_at]);
        times.min().unwrap_or(self.upkeep_at)
    }

    /// Whether it must be woken soon, for a held call.
    pub fn looks_at(&self, now: Millis) -> Option<Millis> {
        (!self.calls.is_empty()).then_some(now + LOOK)
    }

    /// Introduces itself to all that it knows.
    pub fn introduce(&mut self, now: Millis) {
        for ip in self.known.clone() {
            self.hello(now, ip);
        }
    }

    fn hello(&mut self, now: Millis, ip: u32) {
        let (life, origin) = (self.life, self.catalog_replica.origin());
        let members = self.members(now);
        self.effects.packets.push((Node::Control(ip), Packet::Hello { life, origin, members }));
        let compare = self.catalog_replica.compare(true, self.members(now));
        self.say(ip, compare);
    }

    fn members(&self, now: Millis) -> Vec<u32> {
        let mut members = self.catalog_replica.peers().alive(self.clock(now));
        members.push(self.ip);
        members
    }

    fn say(&mut self, ip: u32, message: PeerMessage) {
        let (life, origin) = (self.life, self.catalog_replica.origin());
        let packet = Packet::Peer { life, origin, message: Box::new(message) };
        self.effects.packets.push((Node::Control(ip), packet));
    }

    fn say_to_all(&mut self, message: &PeerMessage) {
        for ip in self.known.clone() {
            self.say(ip, message.clone());
        }
    }

    fn answer(&mut self, waiter: Waiter, answer: Answer) {
        self.effects.packets.push((waiter.caller, Packet::Answer { id: waiter.id, answer }));
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) {
        if self.reopen_at.is_some_and(|at| now >= at) {
            self.reopen_at = None;
            self.open(now, None);
        }
        let clock = self.clock(now);
        if self.replica.as_ref().is_some_and(|r| r.deadline() <= clock) {
            self.step(now, Input::Tick);
        }
        if now >= self.upkeep_at {
            self.upkeep(now);
        }
        self.expire_waiting(now);
        self.look(now);
    }

    fn upkeep(&mut self, now: Millis) {
        self.upkeep_at = now + UPKEEP;
        let clock = self.clock(now);
        for delta in self.catalog_replica.expire(clock) {
            self.say_to_all(&PeerMessage::Push(delta));
            self.news = true;
        }
        let compare = self.catalog_replica.compare(false, self.members(now));
        self.say_to_all(&compare);
        let alive = self.catalog_replica.peers().alive(clock);
        if !alive.is_empty() {
            let drawn = alive[self.random.next_u64() as usize % alive.len()];
            let compare = self.catalog_replica.compare(true, self.members(now));
            self.say(drawn, compare);
        }
    }

    fn expire_waiting(&mut self, now: Millis) {
        let mut late = Vec::new();
        for waiting in [&mut self.waiting, &mut self.forwarded] {
            late.extend(waiting.values().filter(|waiter| now >= waiter.until).copied());
            waiting.retain(|_, waiter| now < waiter.until);
        }
        for waiter in late {
            self.answer(waiter, Answer::Change(ChangeReply::Indeterminate));
        }
    }

    /// Looks at what is held back: calls of backends and of proxies.
    pub fn look(&mut self, now: Millis) {
        let clock = self.clock(now);
        let fresh = self.is_fresh(now);
        let voters = self.replica.as_ref().map_or(0, |r| r.voters().len());
        for held in std::mem::take(&mut self.calls) {
            match held.acknowledgement.decide(clock, &self.catalog_replica, fresh, voters) {
                AcknowledgementDecision::Acknowledge => self.answer(held.waiter, Answer::Registered(true)),
                AcknowledgementDecision::Reject => self.answer(held.waiter, Answer::Registered(false)),
                AcknowledgementDecision::Wait => self.calls.push(held),
            }
        }
        let news = std::mem::take(&mut self.news);
        for held in std::mem::take(&mut self.pulls) {
            let due = now >= held.waiter.until;
            if due || news && self.distributor.has_changes(&self.catalog_replica, &held.pull) {
                self.answer_pull(now, held);
            } else {
                self.pulls.push(held);
            }
        }
    }

    fn answer_pull(&mut self, now: Millis, held: HeldPull) {
        let replica_status = ReplicaStatus {
            fresh: self.is_fresh(now),
            leader: self.leader().map(|l| l.ip),
            members: self.members(now),
        };
        if replica_status.fresh {
            self.effects.fresh_answers.push(self.distributor.current().map(|c| c.position));
        }
        let reply =
            self.distributor.answer(self.clock(now), &self.catalog_replica, &held.pull, replica_status);
        self.answer(held.waiter, Answer::Pull(Box::new(reply)));
    }

    /// Whether it calls itself current.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let clock = self.clock(now);
        self.replica.as_ref().is_some_and(|r| r.is_fresh(clock))
    }

    /// Whether it leads and a majority answered a moment ago.
    pub fn has_lease(&self, now: Millis) -> bool {
        let clock = self.clock(now);
        self.replica.as_ref().is_some_and(|r| r.has_lease(clock))
    }

    fn leader(&self) -> Option<ReplicaId> {
        self.replica.as_ref().and_then(Replica::leader)
    }

    /// Takes a packet.
    pub fn receive(&mut self, now: Millis, from: Node, packet: Packet) {
        match packet {
            Packet::Hello { life, origin, members } => {
                let Node::Control(ip) = from else { return };
                self.known.extend(members.into_iter().filter(|known| *known != self.ip));
                self.register_peer(now, ip, life, origin);
            }
            Packet::Peer { life, origin, message } => {
                let Node::Control(ip) = from else { return };
                self.register_peer(now, ip, life, origin);
                self.receive_of_peer(now, ip, origin, *message);
            }
            Packet::Call { id, call } => self.receive_call(now, from, id, call),
            Packet::Answer { id, answer } => {
                if let Some(waiter) = self.forwarded.remove(&id) {
                    self.answer(waiter, answer);
                }
            }
        }
        self.look(now);
    }

    /// A peer speaks: the first message on a connection says who it is, and a lost one ends the connection.
    fn register_peer(&mut self, now: Millis, ip: u32, life: u64, origin: Origin) {
        if self.register_peer.get(&ip).is_some_and(|known| *known >= life) {
            return;
        }
        self.register_peer.insert(ip, life);
        self.known.insert(ip);
        self.catalog_replica.register_peer(ip, origin);
        self.hello(now, ip);
    }

    fn receive_of_peer(&mut self, now: Millis, ip: u32, origin: Origin, message: PeerMessage) {
        let clock = self.clock(now);
        if !self.catalog_replica.record_contact(clock, ip, origin) {
            return;
        }
        if let PeerMessage::Replica { from, to, message } = message {
            if to.is_none() || to == self.replica.as_ref().map(Replica::id) {
                self.step(now, Input::Message { from, message });
            }
            return;
        }
        if let PeerMessage::Compare { members, .. } = &message {
            self.known.extend(members.iter().copied().filter(|known| *known != self.ip));
        }
        let outcome = self.catalog_replica.apply(clock, ip, message);
        self.news |= outcome.changed;
        for answer in outcome.responses {
            self.say(ip, answer);
        }
    }

    fn receive_call(&mut self, now: Millis, caller: Node, id: u64, call: Call) {
        let waiter = Waiter { caller, id, until: now + ANSWER };
        match call {
            Call::Pull(mut pull) => {
                for (ip, message) in self.catalog_replica.record_pull(self.clock(now), &pull) {
                    self.say(ip, message);
                }
                self.record(now, pull.proxy.clone());
                let left = std::mem::take(&mut pull.departed);
                for delta in self.catalog_replica.record_departed(self.clock(now), left) {
                    self.say_to_all(&PeerMessage::Push(delta));
                }
                let until = now + Millis::from(pull.wait_ms).min(MAX_WAIT);
                self.pulls.push(HeldPull { waiter: Waiter { until, ..waiter }, pull });
                self.news = true;
            }
            Call::Heartbeat(registration) => self.register(now, waiter, *registration),
            Call::Deregister(id) => match self.catalog_replica.departed(&id) {
                Some(registration) => self.register(now, waiter, registration),
                None => self.answer(waiter, Answer::Registered(false)),
            },
            Call::Change(order) => self.receive_order(now, waiter, *order),
            Call::Read => self.receive_read(now, waiter),
        }
    }

    fn record(&mut self, now: Millis, registration: Registration) {
        let clock = self.clock(now);
        if let Some(delta) = self.catalog_replica.record(clock, registration) {
            self.say_to_all(&PeerMessage::Push(delta));
            self.news = true;
        }
    }

    fn register(&mut self, now: Millis, waiter: Waiter, registration: Registration) {
        let acknowledgement = Acknowledgement::new(self.clock(now), &registration);
        self.record(now, registration);
        self.calls.push(HeldCall { waiter, acknowledgement });
    }

    /// Whether this process takes itself for the leader, else where to pass a call on.
    fn route(&self) -> Option<u32> {
        self.leader().map(|leader| leader.ip)
    }

    fn pass_on(&mut self, to: u32, waiter: Waiter, call: Call) {
        self.next_number += 1;
        let id = self.next_number;
        self.forwarded.insert(id, waiter);
        self.effects.packets.push((Node::Control(to), Packet::Call { id, call }));
    }

    fn receive_order(&mut self, now: Millis, waiter: Waiter, order: ConfigurationChange) {
        let from_peer = matches!(waiter.caller, Node::Control(_));
        match self.route() {
            Some(ip) if ip == self.ip || from_peer => {
                let committed = self.replica.as_ref().and_then(Replica::committed);
                // Made-up documents have no services: what they make is not checked as a whole.
                let Ok(proposal) = gaugesaddle_consensus::change::proposal(order, committed, |_| Ok(()))
                else {
                    return self
                        .answer(waiter, Answer::Change(ChangeReply::Invalid { findings: Vec::new() }));
                };
                let number = self.wait(waiter);
                self.step(now, Input::Propose(number, Box::new(proposal)));
            }
            Some(ip) => self.pass_on(ip, waiter, Call::Change(Box::new(order))),
            None => self.answer(waiter, Answer::Change(ChangeReply::Indeterminate)),
        }
    }

    fn receive_read(&mut self, now: Millis, waiter: Waiter) {
        let from_peer = matches!(waiter.caller, Node::Control(_));
        match self.route() {
            Some(ip) if ip == self.ip || from_peer => {
                let number = self.wait(waiter);
                self.step(now, Input::Read(number));
            }
            Some(ip) => self.pass_on(ip, waiter, Call::Read),
            None => self.answer(waiter, Answer::Read(Err(NotLeader))),
        }
    }

    fn wait(&mut self, waiter: Waiter) -> u64 {
        self.next_number += 1;
        self.waiting.insert(self.next_number, waiter);
        self.next_number
    }

    /// Ends a leadership before the process ends.
    pub fn transfer_leadership(&mut self, now: Millis) {
        let clock = self.clock(now);
        let mut outputs = Vec::new();
        if let Some(replica) = &mut self.replica {
            replica.transfer_leadership(clock, &mut outputs);
        }
        self.carry_out(now, outputs);
    }

    fn step(&mut self, now: Millis, input: Input) {
        let clock = self.clock(now);
        let Some(replica) = &mut self.replica else {
            return self.refuse(&input);
        };
        let mut outputs = Vec::new();
        replica.handle(clock, input, &mut outputs);
        if replica.role() == Role::Leader {
            self.effects.leads = Some((replica.term(), replica.id()));
        }
        self.carry_out(now, outputs);
    }

    fn refuse(&mut self, input: &Input) {
        match input {
            Input::Propose(number, _) => self.proposed(*number, ProposalResult::Indeterminate),
            Input::Read(number) => self.read(*number, Err(NotLeader)),
            _ => {}
        }
    }

    fn carry_out(&mut self, now: Millis, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => self.say_replica(to.ip, Some(to), message),
                Output::Broadcast(message) => {
                    for ip in self.known.clone() {
                        self.say_replica(ip, None, message.clone());
                    }
                }
                Output::Persist { write_id, hard_state, state } => {
                    self.persist(now, write_id, hard_state, state)
                }
                Output::Committed => self.committed(),
                Output::Proposed(number, result) => self.proposed(number, result),
                Output::Read(number, result) => self.read(number, result),
            }
        }
    }

    fn say_replica(&mut self, ip: u32, to: Option<ReplicaId>, message: ReplicaMessage) {
        let Some(from) = self.replica.as_ref().map(Replica::id) else { return };
        self.say(ip, PeerMessage::Replica { from, to, message });
    }

    fn committed(&mut self) {
        let Some(newest) = self.replica.as_ref().and_then(Replica::committed).cloned() else { return };
        if self.distributor.apply(&newest) {
            self.effects.committed.push(newest);
            self.news = true;
        }
    }

    fn proposed(&mut self, number: u64, result: ProposalResult) {
        let Some(waiter) = self.waiting.remove(&number) else { return };
        let reply = match result {
            ProposalResult::Committed => ChangeReply::Applied,
            ProposalResult::Conflict { current } => ChangeReply::Conflict { current },
            ProposalResult::StaleRevision { .. } => ChangeReply::Invalid { findings: Vec::new() },
            ProposalResult::Indeterminate => ChangeReply::Indeterminate,
        };
        self.answer(waiter, Answer::Change(reply));
    }

    fn read(&mut self, number: u64, result: Result<Option<Configuration>, NotLeader>) {
        let Some(waiter) = self.waiting.remove(&number) else { return };
        self.answer(waiter, Answer::Read(result));
    }

    fn persist(&mut self, now: Millis, write_id: WriteId, hard_state: HardState, state: Option<Box<State>>) {
        if !self.has_disk {
            return self.step(now, Input::Persisted(write_id));
        }
        self.writes.push_back(PendingWrite { write_id, hard_state, state });
        self.begin_write();
    }

    fn begin_write(&mut self) {
        if self.writing.is_empty() && !self.writes.is_empty() {
            self.writing = self.writes.drain(..).collect();
            self.effects.disk_begins = true;
        }
    }

    /// The disk is done with the write that it had begun.
    pub fn written(&mut self, now: Millis) {
        let Some(write_id) = self.writing.last().map(|write| write.write_id) else { return };
        if self.append().is_err() {
            self.disk_refused(now);
            return;
        }
        self.writing.clear();
        self.step(now, Input::Persisted(write_id));
        self.begin_write();
        self.look(now);
    }

    /// Writes what the disk has begun to; also where power is lost meanwhile.
    pub fn append(&mut self) -> Result<(), gaugesaddle_log::LogError> {
        let newest = self.writing.iter().rev().find_map(|write| write.state.as_deref());
        let (Some(last), Some(ring)) = (self.writing.last(), &mut self.ring) else { return Ok(()) };
        ring.append(disk_format::records(&last.hard_state, newest))
    }

    fn disk_refused(&mut self, now: Millis) {
        self.replica = None;
        self.ring = None;
        self.writes.clear();
        self.writing.clear();
        self.reopen_at = Some(now + REOPEN);
        for number in self.waiting.keys().copied().collect::<Vec<_>>() {
            self.proposed(number, ProposalResult::Indeterminate);
        }
    }
}
