//! Checks the core rules of the membership with a model checker under every order of messages: three processes, lost
//! and duplicated messages, wrong suspicions, one crash with a restart, and one partition that heals.
//!
//! Bounds: [`MAX_PROBES`] probes and [`MAX_UPDATES`] disseminated updates in a run, [`MAX_IN_TRANSIT`] messages in
//! transit, one lost and one duplicated message, one wrong suspicion that may end in a wrong declaration of death, one
//! crash with a restart, one partition of one process from the others.
//!
//! Convergence is checked from every reachable state: the network heals, all messages in transit arrive, each process
//! probes every other one three times; then each must consider every other running process alive.

use gaugesaddle_membership::{Boot, KnownMember, LocalMember, MemberState, MemberStatus, UpdateResult};
use stateright::{Checker, Model, Property};

const PROCESSES: usize = 3;
const MAX_PROBES: u8 = 2;
const MAX_UPDATES: u8 = 1;
const MAX_IN_TRANSIT: usize = 2;
/// Probes from each process to every other one, after which all must have converged.
const PROBES_TO_CONVERGE: usize = 3;

/// A status as numbers, which are ordered as the model checker requires: boot, incarnation, state.
type PackedStatus = (u32, u32, u8);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Body {
    Ping { nonce: u8, status: Option<PackedStatus> },
    Ack { nonce: u8 },
    Update { subject: u8, status: PackedStatus },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    from: u8,
    to: u8,
    boot: u32,
    incarnation: u32,
    body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    local: LocalMember,
    known: [KnownMember; PROCESSES],
    open_probes: [Option<u8>; PROCESSES],
    /// The boot of the newest process that it has verified at each index.
    newest_verified: [u32; PROCESSES],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TierState {
    running: [Option<Process>; PROCESSES],
    starts: u32,
    in_transit: Vec<Message>,
    nonces: u8,
    probes: u8,
    updates: u8,
    has_lost: bool,
    has_duplicated: bool,
    has_suspected: bool,
    has_crashed: bool,
    /// The process that is partitioned from the others.
    partitioned: Option<u8>,
    has_healed: bool,
    /// A process has accepted, at another index, an older process than one it had verified there.
    reverted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Probe { from: u8, to: u8 },
    SendUpdate { from: u8, to: u8, subject: u8 },
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    Suspect { by: u8, subject: u8 },
    DeclareDead { by: u8, subject: u8 },
    Crash(u8),
    Start(u8),
    Partition(u8),
    Heal,
}

fn pack(status: MemberStatus) -> PackedStatus {
    (status.boot.0, status.incarnation, status.state as u8)
}

fn unpack((boot, incarnation, state): PackedStatus) -> MemberStatus {
    let states = [
        MemberState::Unknown,
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Departed,
    ];
    MemberStatus { boot: Boot(boot), incarnation, state: states[usize::from(state)] }
}

impl Process {
    /// Processes a message by the rules of `membership/receive.rs`. Returns the reply.
    fn receive(&mut self, message: &Message, reverted: &mut bool) -> Option<Body> {
        let from = usize::from(message.from);
        let boot = Boot(message.boot);
        let mut reply = None;
        match &message.body {
            Body::Ack { nonce } if self.open_probes[from] == Some(*nonce) => {
                self.open_probes[from] = None;
                if self.known[from].apply_ack(boot, message.incarnation) == UpdateResult::Applied {
                    *reverted |= message.boot < self.newest_verified[from];
                    self.newest_verified[from] = self.newest_verified[from].max(message.boot);
                }
            }
            Body::Ping { nonce, status } => {
                if let Some(status) = status {
                    self.local.refute(unpack(*status));
                }
                reply = Some(Body::Ack { nonce: *nonce });
            }
            Body::Ack { .. } | Body::Update { .. } => {}
        }
        if self.known[from].boot() != Some(boot) {
            return reply; // not verified
        }
        let alive = MemberStatus { boot, incarnation: message.incarnation, state: MemberState::Alive };
        self.known[from].apply(alive);
        if let Body::Update { subject, status } = message.body {
            if subject == message.to {
                self.local.refute(unpack(status));
            } else {
                self.known[usize::from(subject)].apply(unpack(status));
            }
        }
        reply
    }
}

impl TierState {
    fn start(&mut self, index: u8) {
        self.starts += 1;
        // Boots increase with each start only for this check: the core rules do not compare them.
        let process = Process {
            local: LocalMember::new(Boot(self.starts)),
            known: Default::default(),
            open_probes: [None; PROCESSES],
            newest_verified: [0; PROCESSES],
        };
        self.running[usize::from(index)] = Some(process);
    }

    fn send(&mut self, from: u8, to: u8, body: Body) {
        let local = self.running[usize::from(from)].as_ref().expect("the sender is running").local;
        if self.partitioned.is_some_and(|p| (p == from) != (p == to)) {
            return;
        }
        let (boot, incarnation) = (local.boot.0, local.incarnation);
        self.in_transit.push(Message { from, to, boot, incarnation, body });
        self.in_transit.sort();
    }

    fn probe(&mut self, from: u8, to: u8) {
        self.nonces += 1;
        let nonce = self.nonces;
        let process = self.running[usize::from(from)].as_mut().expect("the sender is running");
        process.open_probes[usize::from(to)] = Some(nonce);
        let status = process.known[usize::from(to)].status().map(pack);
        self.send(from, to, Body::Ping { nonce, status });
    }

    fn deliver(&mut self, message: Message) {
        let Some(process) = self.running[usize::from(message.to)].as_mut() else { return };
        if let Some(reply) = process.receive(&message, &mut self.reverted) {
            self.send(message.to, message.from, reply);
        }
    }

    fn deliver_all(&mut self) {
        while !self.in_transit.is_empty() {
            let message = self.in_transit.remove(0);
            self.deliver(message);
        }
    }

    /// The state after the partition has healed and each process has probed every other one.
    fn converge(&self) -> TierState {
        let mut tier = self.clone();
        tier.partitioned = None;
        tier.deliver_all();
        for _ in 0..PROBES_TO_CONVERGE {
            for from in 0..PROCESSES as u8 {
                for to in 0..PROCESSES as u8 {
                    if from != to && tier.running[usize::from(from)].is_some() {
                        tier.probe(from, to);
                        tier.deliver_all();
                    }
                }
            }
        }
        tier
    }

    /// Whether each running process considers every other running process alive.
    fn has_converged(&self) -> bool {
        (0..PROCESSES).all(|i| {
            let Some(process) = &self.running[i] else { return true };
            (0..PROCESSES).filter(|j| *j != i).all(|j| {
                let Some(other) = &self.running[j] else { return true };
                let known = process.known[j];
                known.boot() == Some(other.local.boot) && known.state() == MemberState::Alive
            })
        })
    }
}

struct Tier;

impl Model for Tier {
    type State = TierState;
    type Action = Step;

    fn init_states(&self) -> Vec<TierState> {
        let mut just_started = TierState {
            running: [None, None, None],
            starts: 0,
            in_transit: Vec::new(),
            nonces: 0,
            probes: 0,
            updates: 0,
            has_lost: false,
            has_duplicated: false,
            has_suspected: false,
            has_crashed: false,
            partitioned: None,
            has_healed: false,
            reverted: false,
        };
        (0..PROCESSES as u8).for_each(|index| just_started.start(index));
        let mut converged = just_started.converge();
        converged.nonces = 0;
        vec![converged, just_started]
    }

    fn actions(&self, tier: &TierState, actions: &mut Vec<Step>) {
        let may_send = tier.in_transit.len() < MAX_IN_TRANSIT;
        for i in 0..PROCESSES as u8 {
            let Some(process) = &tier.running[usize::from(i)] else {
                actions.push(Step::Start(i));
                continue;
            };
            if !tier.has_crashed {
                actions.push(Step::Crash(i));
            }
            for j in (0..PROCESSES as u8).filter(|j| *j != i) {
                let state = process.known[usize::from(j)].state();
                if may_send && tier.probes < MAX_PROBES {
                    actions.push(Step::Probe { from: i, to: j });
                }
                if state == MemberState::Alive && !tier.has_suspected {
                    actions.push(Step::Suspect { by: i, subject: j });
                }
                if state == MemberState::Suspect {
                    actions.push(Step::DeclareDead { by: i, subject: j });
                }
                let third = 3 - i - j;
                let has_update = process.known[usize::from(third)]
                    .status()
                    .is_some_and(|status| status.state != MemberState::Alive || status.incarnation > 0);
                if may_send && tier.updates < MAX_UPDATES && has_update {
                    actions.push(Step::SendUpdate { from: i, to: j, subject: third });
                }
            }
        }
        for message in 0..tier.in_transit.len() {
            actions.push(Step::Deliver(message));
            if !tier.has_lost {
                actions.push(Step::Lose(message));
            }
            if !tier.has_duplicated && may_send {
                actions.push(Step::Duplicate(message));
            }
        }
        if tier.partitioned.is_some() {
            actions.push(Step::Heal);
        } else if !tier.has_healed {
            (0..PROCESSES as u8).for_each(|index| actions.push(Step::Partition(index)));
        }
    }

    fn next_state(&self, last: &TierState, step: Step) -> Option<TierState> {
        let mut tier = last.clone();
        match step {
            Step::Probe { from, to } => {
                tier.probes += 1;
                tier.probe(from, to);
            }
            Step::SendUpdate { from, to, subject } => {
                tier.updates += 1;
                let process = tier.running[usize::from(from)].as_ref()?;
                let status = pack(process.known[usize::from(subject)].status()?);
                tier.send(from, to, Body::Update { subject, status });
            }
            Step::Deliver(message) => {
                let message = tier.in_transit.remove(message);
                tier.deliver(message);
            }
            Step::Duplicate(message) => {
                tier.has_duplicated = true;
                let message = tier.in_transit[message].clone();
                tier.deliver(message);
            }
            Step::Lose(message) => {
                tier.has_lost = true;
                tier.in_transit.remove(message);
            }
            Step::Suspect { by, subject } => {
                tier.has_suspected = true;
                let process = tier.running[usize::from(by)].as_mut()?;
                process.known[usize::from(subject)].declare(MemberState::Suspect)?;
            }
            Step::DeclareDead { by, subject } => {
                let process = tier.running[usize::from(by)].as_mut()?;
                process.known[usize::from(subject)].declare(MemberState::Dead)?;
            }
            Step::Crash(index) => {
                tier.has_crashed = true;
                tier.running[usize::from(index)] = None;
            }
            Step::Start(index) => tier.start(index),
            Step::Partition(index) => {
                tier.partitioned = Some(index);
                // Messages in transit between the two sides are lost.
                tier.in_transit.retain(|message| (message.from == index) == (message.to == index));
            }
            Step::Heal => {
                tier.partitioned = None;
                tier.has_healed = true;
            }
        }
        (tier.in_transit.len() <= MAX_IN_TRANSIT + 1).then_some(tier)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no former process is accepted", |_, tier: &TierState| !tier.reverted),
            Property::<Self>::always("running processes converge to alive", |_, tier: &TierState| {
                tier.converge().has_converged()
            }),
            Property::<Self>::sometimes("a running process is declared dead", |_, tier: &TierState| {
                let is_wrong = |process: &Process, j: usize| {
                    process.known[j].state() == MemberState::Dead && tier.running[j].is_some()
                };
                tier.running.iter().flatten().any(|process| (0..PROCESSES).any(|j| is_wrong(process, j)))
            }),
            Property::<Self>::sometimes("a restarted process is verified", |_, tier: &TierState| {
                let first_starts = PROCESSES as u32;
                let has_verified =
                    |process: &Process| process.newest_verified.iter().any(|boot| *boot > first_starts);
                tier.running.iter().flatten().any(has_verified)
            }),
        ]
    }
}

#[test]
fn running_processes_converge_to_alive_and_former_processes_never_become_live_again() {
    let checker = Tier.checker().threads(2).spawn_bfs().join();
    println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 1_000_000,
        "the bounds left too few states: {}",
        checker.unique_state_count()
    );
}
