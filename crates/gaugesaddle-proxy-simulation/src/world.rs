//! The simulated fleet: the event queue, the nodes, the clients and changes of the backend list.

mod nodes;
mod proxies;

use crate::host::Host;
use gaugesaddle_allocation::{Allocation, Allocator, AllocatorSettings, DemandEstimator, TierView};
use gaugesaddle_balancer::settings::{self, stable_id, Key};
use gaugesaddle_balancer::{
    Arrival, AttemptNo, Backend, BackendId, BackendState, ClassId, ConfigError, Event, KindId, LimitBounds,
    ListUpdate, Micros, Outcome, RequestId, Time, ZoneId,
};
use gaugesaddle_testbed::plan::{may_retry, plan, retry_id, Plan, Step};
use gaugesaddle_testbed::processor::Processor;
use gaugesaddle_testbed::random::{mix, RandomStream};
use gaugesaddle_testbed::scenario::{zone_name, Kind};
use gaugesaddle_testbed::Scenario;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Delay of a message between a proxy and a node, in microseconds: loopback and the scheduling of a simulated node's
/// thread.
pub const ONE_WAY_DELAY_US: u64 = 300;
/// Maximum number of proxies: the maximum size of a tier.
const MAX_PROXIES: usize = 4096;
/// Start of the simulation, in microseconds: the balancer's clock is Unix time, in which a boot time of 0 is far in the
/// past.
const START: u64 = 1_000_000_000_000;
/// Fraction of the client's timeout for which the plain relay waits for a node.
const RELAY_TIMEOUT_FRACTION: f64 = 0.8;
/// Interval at which each proxy observes its tier.
const OBSERVATION_INTERVAL_US: u64 = 500_000;
/// Time until the other proxies detect the death or the start of a proxy, as on a tier of real processes.
const DEATH_KNOWN_US: u64 = 1_700_000;
const START_KNOWN_US: u64 = 200_000;
/// Time for which a run continues after the last arrival; covers the longest deadline of any scenario and some retries.
const DRAIN_US: u64 = 10_000_000;
/// Delay of a retry by a client that honours `Retry-After`; the proxy rounds the header to whole seconds.
const RETRY_AFTER_US: u64 = 2_000_000;

/// How requests are assigned to nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The balancer, with these bounds on each backend's concurrency limit; equal bounds make the limit constant.
    Balancer(LimitBounds),
    /// Round robin over the ready nodes, one attempt per request.
    Relay,
}

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Weight of the requests served in time divided by that of all requests; a request and its retries count once.
    pub g: f64,
    /// Fraction served in time, by class.
    pub in_time: Vec<f64>,
    /// `g` by second of arrival.
    pub seconds: Vec<f64>,
    /// Number of responses by status, over all attempts of clients.
    pub statuses: BTreeMap<u16, u64>,
    /// Number of times that a node choked.
    pub chokes: u64,
    /// Maximum number of requests at each node, including requests in their wait time, by index.
    pub max_in_flight: Vec<usize>,
    /// Each proxy's final view of each backend's limit.
    pub limits: Vec<Vec<gaugesaddle_balancer::LimitView>>,
}

/// Why a scenario cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// The scenario is invalid.
    #[error("{0}")]
    Scenario(#[from] gaugesaddle_testbed::ScenarioError),
    /// The settings of the scenario are invalid.
    #[error("{0}")]
    Settings(#[from] settings::KeyError),
    /// The balancer rejects the settings.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The scenario has an event that the simulation does not support.
    #[error("events: expected only events that the simulation supports, got {0}")]
    Unsupported(String),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    /// A client sends a request: its index in the plan, and the number of the attempt.
    SendRequest(usize, u32),
    /// A proxy's tick is due.
    ProxyTick(usize),
    /// A request arrives at a node.
    ArriveAtNode(usize),
    /// Work is due at a node.
    AdvanceNode(usize),
    /// An attempt's wait time at its node ends; the node sends the response.
    SendResponse(usize),
    /// The outcome of an attempt arrives at its proxy.
    AttemptOutcome(usize, u8),
    /// A step of the plan is due.
    PlanStep(usize),
    /// A proxy receives a change of the backend list: proxy, node, state and boot time.
    ListChange(usize, usize, u8, u64),
    /// The plain relay's timeout for an attempt expires.
    RelayTimeout(usize),
    /// A proxy reports its demand and observes the tier.
    ObserveTier(usize),
}

const OK: u8 = 0;
const FULL: u8 = 1;
const RESET: u8 = 2;
const NO_CONNECTION: u8 = 3;
/// Status recorded for a client that receives no response because its connection is reset.
const RESET_STATUS: u16 = 0;
const READY: u8 = 0;
const DRAINING: u8 = 1;
const DEPARTED: u8 = 2;

struct Node {
    kind: Kind,
    machine: Option<Processor>,
    /// Start time and number of the present process; attempts sent to an earlier process are discarded.
    booted: u64,
    boots: u32,
    next_run: u64,
    /// Attempts at the node, including those in their wait time.
    in_flight: usize,
}

/// An attempt sent to a node, identified by its index in `World::node_attempts`.
struct SentAttempt {
    proxy: usize,
    request: RequestId,
    attempt_number: AttemptNo,
    node: usize,
    boots: u32,
    work_us: u64,
    wait_us: u64,
    /// The proxy no longer waits for the attempt.
    abandoned: bool,
    done: bool,
}

/// The state of a proxy as a member of the tier.
struct ProxyState {
    /// Time of the last start or end of the process.
    since: u64,
    up: bool,
    allocator: Allocator,
    demand: DemandEstimator,
    arrivals: u32,
    /// The last two demand reports, newest first; other proxies may still have the older one.
    reported: [Option<f64>; 2],
}

impl ProxyState {
    fn new() -> ProxyState {
        let allocator = Allocator::new(AllocatorSettings::default());
        ProxyState {
            since: 0,
            up: true,
            allocator,
            demand: DemandEstimator::default(),
            arrivals: 0,
            reported: [None; 2],
        }
    }

    /// Whether the other proxies consider this proxy alive.
    fn is_known_alive(&self, now: u64) -> bool {
        let detection_us = if self.up { START_KNOWN_US } else { DEATH_KNOWN_US };
        self.up == (self.since == 0 || now >= self.since + detection_us)
    }
}

struct World<'a> {
    scenario: &'a Scenario,
    plan: Plan,
    policy: Policy,
    now: u64,
    event_queue: BinaryHeap<Reverse<(u64, u64, WorldEvent)>>,
    next_order: u64,
    nodes: Vec<Node>,
    hosts: Vec<Host>,
    ticks: Vec<u64>,
    node_attempts: Vec<SentAttempt>,
    by_attempt: BTreeMap<(usize, RequestId, AttemptNo), usize>,
    /// For each client attempt, the index of its request in the plan and the number of the attempt.
    client_attempts: BTreeMap<RequestId, (usize, u32)>,
    /// For each request of the plan, whether it was served in time.
    served: Vec<bool>,
    answered: BTreeSet<RequestId>,
    ready: Vec<Vec<bool>>,
    proxies: Vec<ProxyState>,
    views: RandomStream,
    next_relay_node: usize,
    traffic: Vec<f64>,
    delays: RandomStream,
    delivered: BTreeMap<(usize, usize), u64>,
    report: Report,
}

/// Runs a scenario. `traffic` contains the relative weight of each proxy's traffic; if it is empty, clients use the
/// proxies of their zone evenly.
///
/// # Errors
/// The scenario is invalid, or has an event that the simulation does not support.
pub fn simulate(s: &Scenario, policy: Policy, traffic: &[f64]) -> Result<Report, SimulationError> {
    s.check_up_to(MAX_PROXIES)?;
    let scenario_plan = plan(s);
    let is_supported = |step: &Step| {
        matches!(
            step,
            Step::NodeStart(_)
                | Step::NodeCrash(_)
                | Step::NodeDrain(_)
                | Step::NodeStop(_)
                | Step::NodeSlow(..)
                | Step::NodeHang(..)
                | Step::ProxyKill(_)
                | Step::ProxyStart(_)
        )
    };
    if let Some((_, step)) = scenario_plan.steps.iter().find(|(_, step)| !is_supported(step)) {
        return Err(SimulationError::Unsupported(format!("{step:?}")));
    }
    let hosts = (0..s.proxies).map(|position| start_host(s, policy, position)).collect::<Result<_, _>>()?;
    let kinds = s.kinds.iter().flat_map(|k| std::iter::repeat_n(k, k.count));
    let node = |kind: &Kind| Node {
        kind: kind.clone(),
        machine: Some(Processor::new(kind, s.choke, START, false)),
        booted: 0,
        boots: 0,
        next_run: u64::MAX,
        in_flight: 0,
    };
    let nodes: Vec<Node> = kinds.map(node).collect();
    let mut world = World {
        scenario: s,
        policy,
        now: START,
        event_queue: BinaryHeap::new(),
        next_order: 0,
        hosts,
        ticks: vec![u64::MAX; s.proxies],
        node_attempts: Vec::new(),
        by_attempt: BTreeMap::new(),
        client_attempts: BTreeMap::new(),
        served: vec![false; scenario_plan.requests.len()],
        answered: BTreeSet::new(),
        ready: vec![vec![true; nodes.len()]; s.proxies],
        proxies: (0..s.proxies).map(|_| ProxyState::new()).collect(),
        views: RandomStream::new(s.seed, "views"),
        next_relay_node: 0,
        traffic: traffic.to_vec(),
        delays: RandomStream::new(s.seed, "discovery"),
        delivered: BTreeMap::new(),
        report: Report { max_in_flight: vec![0; nodes.len()], ..Report::default() },
        nodes,
        plan: scenario_plan,
    };
    world.run()?;
    Ok(world.finish())
}

/// The host of a proxy that has just started.
fn start_host(s: &Scenario, policy: Policy, position: usize) -> Result<Host, SimulationError> {
    let proxy_settings = s.settings(position);
    let (mut config, _) = settings::read(&Key::root(&proxy_settings))?;
    config.limits = if let Policy::Balancer(bounds) = policy { bounds } else { LimitBounds::default() };
    Ok(Host::new(config, mix(s.seed, position as u64))?)
}

impl World<'_> {
    pub(super) fn schedule(&mut self, at: u64, event: WorldEvent) {
        self.next_order += 1;
        self.event_queue.push(Reverse((at.max(self.now), self.next_order, event)));
    }

    fn run(&mut self) -> Result<(), SimulationError> {
        let all: Vec<Backend> = (0..self.nodes.len()).map(|n| self.backend_entry(n, READY)).collect();
        for proxy in 0..self.hosts.len() {
            self.hosts[proxy].update_backends(ListUpdate::Full, all.clone());
            self.schedule_tick(proxy);
            if self.scenario.demand_allocation {
                let phase = (self.views.unit() * OBSERVATION_INTERVAL_US as f64) as u64;
                self.schedule(START + phase, WorldEvent::ObserveTier(proxy));
            }
        }
        for i in 0..self.plan.requests.len() {
            self.schedule(START + self.plan.requests[i].at_us, WorldEvent::SendRequest(i, 0));
        }
        for i in 0..self.plan.steps.len() {
            self.schedule(START + self.plan.steps[i].0, WorldEvent::PlanStep(i));
        }
        let end = START + (self.scenario.seconds * 1e6) as u64 + DRAIN_US;
        while let Some(Reverse((at, _, event))) = self.event_queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match event {
                WorldEvent::SendRequest(planned, number) => self.send_request(planned, number),
                WorldEvent::ProxyTick(proxy) if self.ticks[proxy] == at => {
                    self.ticks[proxy] = u64::MAX;
                    let mut host_actions = Vec::new();
                    self.hosts[proxy].run(Time(at), &mut host_actions);
                    self.execute_actions(proxy, host_actions);
                    self.schedule_tick(proxy);
                }
                WorldEvent::ProxyTick(_) => {}
                WorldEvent::ArriveAtNode(sent) => self.arrive_at_node(sent),
                WorldEvent::AdvanceNode(node) if self.nodes[node].next_run == at => {
                    self.nodes[node].next_run = u64::MAX;
                    self.advance_node(node);
                }
                WorldEvent::AdvanceNode(_) => {}
                WorldEvent::SendResponse(sent) => self.send_response(sent),
                WorldEvent::AttemptOutcome(sent, outcome_code) => self.handle_outcome(sent, outcome_code),
                WorldEvent::PlanStep(step) => self.apply_step(step)?,
                WorldEvent::ListChange(proxy, node, state, booted) => {
                    self.deliver_change(proxy, node, state, booted);
                }
                WorldEvent::RelayTimeout(sent) => self.time_out_relay(sent),
                WorldEvent::ObserveTier(proxy) => self.observe_tier(proxy),
            }
        }
        Ok(())
    }

    pub(super) fn answer_request(&mut self, request: RequestId, status: u16) {
        if !self.answered.insert(request) {
            return;
        }
        let (request_index, number) = self.client_attempts[&request];
        let planned = &self.plan.requests[request_index];
        *self.report.statuses.entry(status).or_default() += 1;
        let class = &self.scenario.classes[planned.class];
        self.served[request_index] |=
            status == 200 && self.now <= START + planned.at_us + (class.objective_ms * 1e3) as u64;
        if number < planned.retries && may_retry(class.effect, status, true) {
            let retry_after = (status == 503 && planned.follows_retry_after).then_some(RETRY_AFTER_US);
            let wait = retry_after.unwrap_or(planned.backoff_us << number.min(8));
            self.schedule(self.now + wait, WorldEvent::SendRequest(request_index, number + 1));
        }
    }

    fn finish(mut self) -> Report {
        let s = self.scenario;
        let mut classes = vec![(0.0, 0.0); s.classes.len()];
        let mut seconds = vec![(0.0, 0.0); s.seconds.ceil() as usize];
        for (planned, served) in self.plan.requests.iter().zip(&self.served) {
            let weight = s.classes[planned.class].priority_weight;
            let last = seconds.len() - 1;
            let second = &mut seconds[((planned.at_us / 1_000_000) as usize).min(last)];
            let class = &mut classes[planned.class];
            for (sum, weight) in [(class, 1.0), (second, weight)] {
                sum.0 += weight;
                sum.1 += if *served { weight } else { 0.0 };
            }
        }
        let fraction = |(total, in_time): &(f64, f64)| if *total > 0.0 { in_time / total } else { 1.0 };
        let all = seconds.iter().fold((0.0, 0.0), |n, s| (n.0 + s.0, n.1 + s.1));
        self.report.g = fraction(&all);
        self.report.in_time = classes.iter().map(fraction).collect();
        self.report.seconds = seconds.iter().map(fraction).collect();
        self.report.limits = self.hosts.iter().map(|h| h.balancer.limits()).collect();
        self.report
    }
}
