//! Simulates a plan: machines, processes, operators and links, driven by a queue of events in virtual time.
//!
//! One random source makes all random choices that the plan doesn't contain, in the order of the events, so that a plan
//! always gives the same run. Its files: `delivery` (packets and timers), `processes` (machines and proxies), `faults`
//! and `losses` (which faults are injected, and when they are deferred), `checks` (rules with a deadline).

mod checks;
mod delivery;
mod faults;
mod losses;
mod processes;

use crate::backend::Backend;
use crate::control::ControlProcess;
use crate::disk::Disk;
use crate::fault::{CrashAfterAcknowledgement, Fault};
use crate::history::{History, Violation};
use crate::network::{Network, Node};
use crate::operator::Operator;
use crate::packet::Packet;
use crate::plan::{Plan, BACKENDS};
use crate::proxy::Proxy;
use crate::trace::{TraceEntry, TraceEvent, VoterGroup};
use crate::{Deployment, Millis};
use gaugesaddle_consensus::Settings;
use gaugesaddle_protocol::ReplicaId;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Number of operators of a run.
const OPERATORS: u32 = 2;
/// All machines and proxies start within this time.
const START_SPREAD_MS: u64 = 300;
/// Time of the first tick of each operator and each backend.
const FIRST_OPERATOR_TICK_MS: Millis = 1000;
const FIRST_BACKEND_TICK_MS: Millis = 500;

enum Event {
    Deliver { from: Node, to: Node, incarnation: u64, packet: Packet },
    Timer { node: Node, incarnation: u64 },
    CompleteWrite { ip: u32, incarnation: u64 },
    InjectFault { fault: Fault, abandon_at: Millis },
    StartProcess { ip: u32 },
    StartProxy { number: u32 },
    BeginShutdown { ip: u32, disposition: MachineDisposition },
    CheckShutdown { ip: u32, shutdown: Shutdown },
    CrashAfterAcknowledgement { ip: u32, crash: CrashAfterAcknowledgement },
    CheckRules,
}

/// What becomes of a machine when its process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MachineDisposition {
    /// The process starts again after `down`.
    Retained {
        down: Millis,
    },
    Removed,
}

/// A graceful shutdown of a process.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    begun: Millis,
    /// The incarnation of the process.
    incarnation: u64,
    disposition: MachineDisposition,
}

/// A control machine.
struct Machine {
    process: Option<ControlProcess>,
    disk: Disk,
    has_disk: bool,
    /// Increases with each start and end of a process, so that events for a former process are discarded.
    incarnation: u64,
    has_started: bool,
    frozen_until: Millis,
    disk_slowdown: u64,
    disk_slow_until: Millis,
    disk_hangs_until: Millis,
    disk_full_until: Millis,
    /// The machine counts as lost until this time.
    lost_until: Millis,
    /// After the loss of the disk: the disk counts as lost until this time at least, and until the machine's replica
    /// votes again.
    disk_lost_until: Option<Millis>,
    /// The replacement of `predecessor` by this machine counts as a lost disk until this time at least; `None` if it is over.
    replacement_until: Option<Millis>,
    /// Identity of the replica on the disk; `None` before the first replica and after the loss of the disk.
    replica: Option<ReplicaId>,
    /// The machine that this one replaces.
    predecessor: Option<u32>,
    /// The machine is being replaced: it will be removed.
    is_replaced: bool,
    /// The machine has been removed and never starts again.
    is_removed: bool,
    /// The machine was removed after its replica had left the group, according to the replica.
    has_left: bool,
}

impl Machine {
    fn new(has_disk: bool) -> Machine {
        Machine {
            process: None,
            disk: Disk::default(),
            has_disk,
            incarnation: 0,
            has_started: false,
            frozen_until: 0,
            disk_slowdown: 1,
            disk_slow_until: 0,
            disk_hangs_until: 0,
            disk_full_until: 0,
            lost_until: 0,
            disk_lost_until: None,
            replacement_until: None,
            replica: None,
            predecessor: None,
            is_replaced: false,
            is_removed: false,
            has_left: false,
        }
    }
}

/// A proxy's machine.
#[derive(Default)]
struct ProxyMachine {
    proxy: Option<Proxy>,
    incarnation: u64,
    started: Millis,
    frozen_until: Millis,
    /// Revision at the last check.
    revision: u64,
}

/// Answers to operators are lost with a probability until a time.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerLoss {
    percent: u64,
    until: Millis,
}

/// Operators and backends prefer a machine for their calls until a time.
#[derive(Clone, Copy, Debug)]
struct PreferredMachine {
    ip: u32,
    until: Millis,
}

/// Kind of acknowledgement that triggers a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcknowledgementKind {
    Change,
    Departure,
}

/// A crash that the next acknowledgement of a kind triggers.
#[derive(Clone, Copy, Debug)]
struct ArmedCrash {
    trigger: AcknowledgementKind,
    delay: Millis,
    crash: CrashAfterAcknowledgement,
}

/// The valid timer of a node; other timer events of the node in the queue are ignored.
#[derive(Clone, Copy, Debug)]
struct PlannedTimer {
    incarnation: u64,
    at: Millis,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// All violated rules.
    pub violations: Vec<Violation>,
    /// Number of confirmed changes.
    pub confirmed_changes: usize,
    /// Number of terms with a leader.
    pub terms_with_leader: usize,
    /// Number of injected faults.
    pub injected_faults: usize,
    /// Number of rule checks while all processes were connected.
    pub connected_checks: usize,
    /// Number of checks of a proxy without a valid proof of freshness, which therefore could not use keys.
    pub unproven_checks: usize,
    /// What happened, in order of time.
    pub trace: Vec<TraceEntry>,
}

/// State of a run. Its queue contains one valid timer per node, and one event per packet in flight.
struct World {
    now: Millis,
    /// Number of the newest event: events with the same time are handled in the order in which they were scheduled.
    event_number: u64,
    events: BTreeMap<(Millis, u64), Event>,
    random: Pcg64Mcg,
    deployment: Deployment,
    settings: Settings,
    network: Network,
    timers: BTreeMap<Node, PlannedTimer>,
    machines: BTreeMap<u32, Machine>,
    proxies: BTreeMap<u32, ProxyMachine>,
    operators: Vec<Operator>,
    backends: Vec<Backend>,
    history: History,
    /// End of the last disturbance.
    disturbed_until: Millis,
    answer_loss: AnswerLoss,
    /// Machine that acknowledged a change last.
    last_acknowledger: Option<u32>,
    preferred_machine: Option<PreferredMachine>,
    armed_crashes: Vec<ArmedCrash>,
    /// The voters of the membership that was last known to be committed.
    voters: Vec<ReplicaId>,
    next_ip: u32,
    injected_faults: usize,
    connected_checks: usize,
    unproven_checks: usize,
    trace: Vec<TraceEntry>,
    /// The group of voters in the last entry of the trace; `None` if there was no leader.
    traced_group: Option<VoterGroup>,
}

/// Simulates a plan to its end.
pub fn simulate(plan: &Plan) -> Outcome {
    let mut world = World::new(plan);
    world.schedule_faults(plan);
    world.run_until(plan.end() + faults::MAX_DEFERRAL_MS);
    world.finish_run();
    Outcome {
        violations: world.history.violations(),
        confirmed_changes: world.history.confirmed_changes(),
        terms_with_leader: world.history.terms_with_leader(),
        injected_faults: world.injected_faults,
        connected_checks: world.connected_checks,
        unproven_checks: world.unproven_checks,
        trace: world.trace,
    }
}

impl World {
    fn new(plan: &Plan) -> World {
        let deployment = plan.deployment.clone();
        let defaults = Settings::default();
        let min_voters = defaults.min_voters.max(2 * deployment.max_lost_machines as usize + 1);
        let operator = |n| Operator::new(n + 1, 2500 + Millis::from(n) * 170);
        let backend = |n| Backend::new(n, 500 + Millis::from(n) * 60);
        let mut world = World {
            now: 0,
            event_number: 0,
            events: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            settings: Settings { min_voters, ..defaults },
            network: Network::default(),
            timers: BTreeMap::new(),
            machines: BTreeMap::new(),
            proxies: BTreeMap::new(),
            operators: (0..OPERATORS).map(operator).collect(),
            backends: (0..BACKENDS).map(backend).collect(),
            history: History::default(),
            disturbed_until: 0,
            answer_loss: AnswerLoss::default(),
            last_acknowledger: None,
            preferred_machine: None,
            armed_crashes: Vec::new(),
            voters: Vec::new(),
            next_ip: 1,
            injected_faults: 0,
            connected_checks: 0,
            unproven_checks: 0,
            trace: Vec::new(),
            traced_group: None,
            deployment,
        };
        world.schedule_starts();
        world
    }

    fn schedule_starts(&mut self) {
        for number in 0..self.deployment.machines_with_disk + self.deployment.machines_without_disk {
            let has_disk = number < self.deployment.machines_with_disk;
            let ip = self.add_machine(has_disk);
            let at = self.random_below(START_SPREAD_MS);
            self.schedule(at, Event::StartProcess { ip });
        }
        for number in 0..self.deployment.proxies {
            self.proxies.insert(number, ProxyMachine::default());
            let at = self.random_below(START_SPREAD_MS);
            self.schedule(at, Event::StartProxy { number });
        }
        for number in 0..OPERATORS {
            self.schedule_timer(Node::Operator(number), 0, FIRST_OPERATOR_TICK_MS);
        }
        for number in 0..BACKENDS {
            self.schedule_timer(Node::Backend(number), 0, FIRST_BACKEND_TICK_MS);
        }
        self.schedule(checks::CHECK_INTERVAL_MS, Event::CheckRules);
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.random.next_u64() % n.max(1)
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.event_number += 1;
        self.events.insert((at.max(self.now), self.event_number), event);
    }

    /// Schedules the timer of a node, unless an earlier one is pending. Each tick of a node schedules the next timer.
    fn schedule_timer(&mut self, node: Node, incarnation: u64, at: Millis) {
        let at = at.max(self.now);
        let has_earlier =
            self.timers.get(&node).is_some_and(|timer| timer.incarnation == incarnation && timer.at <= at);
        if !has_earlier {
            self.timers.insert(node, PlannedTimer { incarnation, at });
            self.schedule(at, Event::Timer { node, incarnation });
        }
    }

    fn run_until(&mut self, end: Millis) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end {
                self.event_number += 1;
                self.events.insert((at, self.event_number), event);
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        if let Some(resumes_at) = self.frozen_until(&event) {
            // The sockets of a suspended process queue packets until it resumes.
            return self.schedule(resumes_at, event);
        }
        match event {
            Event::Deliver { from, to, incarnation, packet } => self.deliver(from, to, incarnation, packet),
            Event::Timer { node, incarnation } => self.run_timer(node, incarnation),
            Event::CompleteWrite { ip, incarnation } => self.complete_write(ip, incarnation),
            Event::InjectFault { fault, abandon_at } => self.inject_or_defer(fault, abandon_at),
            Event::StartProcess { ip } => self.start_process(ip),
            Event::StartProxy { number } => self.start_proxy(number),
            Event::BeginShutdown { ip, disposition } => self.begin_shutdown(ip, disposition),
            Event::CheckShutdown { ip, shutdown } => self.check_shutdown(ip, shutdown),
            Event::CrashAfterAcknowledgement { ip, crash } => self.crash_after_acknowledgement(ip, crash),
            Event::CheckRules => self.check_rules(),
        }
    }

    /// Time at which the process that an event is for resumes; `None` if the process is not frozen.
    fn frozen_until(&self, event: &Event) -> Option<Millis> {
        let node = match event {
            Event::Deliver { to, .. } => *to,
            Event::Timer { node, .. } => *node,
            Event::CompleteWrite { ip, .. } | Event::BeginShutdown { ip, .. } => Node::Control(*ip),
            _ => return None,
        };
        let until = match node {
            Node::Control(ip) => self.machines.get(&ip)?.frozen_until,
            Node::Proxy(number) => self.proxies.get(&number)?.frozen_until,
            _ => return None,
        };
        (self.now < until).then_some(until)
    }

    fn trace(&mut self, event: TraceEvent) {
        self.trace.push(TraceEntry { at: self.now, event });
    }

    /// Adds the group of voters to the trace if it has changed.
    fn trace_voters(&mut self) {
        let leader = self.leader().and_then(|ip| self.machines.get(&ip)?.process.as_ref());
        let replica = leader.and_then(|process| process.replica.as_ref());
        let group = replica.map(|replica| VoterGroup {
            leader: replica.id(),
            term: replica.term(),
            voters: replica.voters().to_vec(),
            is_committed: replica.is_membership_committed(),
        });
        if group == self.traced_group {
            return;
        }
        self.traced_group.clone_from(&group);
        self.trace(group.map_or(TraceEvent::NoLeader, |group| TraceEvent::Voters { group }));
    }

    /// Address of the machine whose replica leads and has a lease.
    fn leader(&self) -> Option<u32> {
        let leads = |machine: &Machine| machine.process.as_ref().is_some_and(|p| p.has_lease(self.now));
        self.machines.iter().find(|(_, machine)| leads(machine)).map(|(ip, _)| *ip)
    }
}
