//! A fleet in virtual time: an event queue, nodes, clients and changes of the list.

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

/// One way between a proxy and a node, in microseconds: loopback and a stand-in's turn.
pub const HOP_US: u64 = 300;
/// Maximum number of proxies: as many as a tier may have.
const MAX_PROXIES: usize = 4096;
/// The first moment: the module's clock is Unix time and a node that booted at 0 means long ago.
const START: u64 = 1_000_000_000_000;
/// The plain relay waits for a node for this fraction of the client's time.
const RELAY_TIMEOUT_FRACTION: f64 = 0.8;
/// Interval of each proxy's observations of its tier.
const OBSERVATION_INTERVAL_US: u64 = 500_000;
/// Time until a death is known, and a start: as measured on a tier of processes.
const DEATH_KNOWN_US: u64 = 1_700_000;
const START_KNOWN_US: u64 = 200_000;
/// A run continues for this long after the last arrival: the longest deadline of any scenario and some retries.
const DRAIN_US: u64 = 10_000_000;
/// A client that respects `Retry-After` waits for this long: the program rounds to full seconds.
const RETRY_AFTER_US: u64 = 2_000_000;

/// What decides where requests go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The balancer, with these bounds of a backend's limit; equal bounds make it constant.
    Module(LimitBounds),
    /// Round robin over the ready nodes, one attempt.
    Relay,
}

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Weight of the requests served in time over that of all requests; retries count to their request.
    pub g: f64,
    /// Fraction served in time, by class.
    pub in_time: Vec<f64>,
    /// The same as `g`, by second of arrival.
    pub seconds: Vec<f64>,
    /// Answers by status, of all attempts of clients.
    pub statuses: BTreeMap<u16, u64>,
    /// How often a node choked.
    pub chokes: u64,
    /// Maximum requests at a node, waits included, by index.
    pub max_in_flight: Vec<usize>,
    /// Each proxy's last view of each backend's limit.
    pub limits: Vec<Vec<gaugesaddle_balancer::LimitView>>,
}

/// Why a scenario cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum ModelError {
    /// The scenario is invalid.
    #[error("{0}")]
    Scenario(#[from] gaugesaddle_testbed::ScenarioError),
    /// Its settings are invalid.
    #[error("{0}")]
    Settings(#[from] settings::KeyError),
    /// The balancer rejects them.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// It has events that the simulation does not cover.
    #[error("events: expected only what the model covers, got {0}")]
    Uncovered(String),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    /// A client sends a request: its index in the plan, and the number of the attempt.
    Try(usize, u32),
    /// A proxy's tick.
    Turn(usize),
    /// A request arrives at a node.
    Reach(usize),
    /// Something is due at a node.
    Run(usize),
    /// An attempt's wait at its node is over: the answer is sent.
    Reply(usize),
    /// An outcome arrives at a proxy.
    Outcome(usize, u8),
    /// A step of the plan.
    Step(usize),
    /// A proxy learns of a change of a node.
    ListChange(usize, usize, u8, u64),
    /// The plain relay gives up.
    Expire(usize),
    /// A proxy reports its demand and observes the tier.
    Tier(usize),
}

const OK: u8 = 0;
const FULL: u8 = 1;
const RESET: u8 = 2;
const NO_CONNECTION: u8 = 3;
/// A client whose connection is reset has no answer at all.
const RESET_STATUS: u16 = 0;
const READY: u8 = 0;
const DRAINING: u8 = 1;
const DEPARTED: u8 = 2;

struct Node {
    kind: Kind,
    machine: Option<Processor>,
    /// The start of the process, and its number: what belongs to an older one is dropped.
    booted: u64,
    boots: u32,
    next_run: u64,
    /// Attempts at it, waits included.
    in_flight: usize,
}

/// An attempt, by its number among all.
struct SentAttempt {
    proxy: usize,
    request: RequestId,
    no: AttemptNo,
    node: usize,
    boots: u32,
    work_us: u64,
    wait_us: u64,
    /// Nobody waits for it any more.
    abandoned: bool,
    done: bool,
}

/// A proxy of the tier.
struct ProxyState {
    /// Since when it runs, or does not.
    since: u64,
    up: bool,
    allocator: Allocator,
    demand: DemandEstimator,
    arrivals: u32,
    /// Its last two reports: others may still have the older one.
    reported: [Option<f64>; 2],
}

impl ProxyState {
    fn new() -> ProxyState {
        let dealer = Allocator::new(AllocatorSettings::default());
        ProxyState {
            since: 0,
            up: true,
            allocator: dealer,
            demand: DemandEstimator::default(),
            arrivals: 0,
            reported: [None; 2],
        }
    }

    /// Whether others know that it is live.
    fn is_known_alive(&self, now: u64) -> bool {
        let known = if self.up { START_KNOWN_US } else { DEATH_KNOWN_US };
        self.up == (self.since == 0 || now >= self.since + known)
    }
}

struct World<'a> {
    s: &'a Scenario,
    plan: Plan,
    policy: Policy,
    now: u64,
    heap: BinaryHeap<Reverse<(u64, u64, WorldEvent)>>,
    order: u64,
    nodes: Vec<Node>,
    hosts: Vec<Host>,
    ticks: Vec<u64>,
    sent: Vec<SentAttempt>,
    by_attempt: BTreeMap<(usize, RequestId, AttemptNo), usize>,
    /// Of each client attempt: its request in the plan and its number.
    attempts: BTreeMap<RequestId, (usize, u32)>,
    /// Of each request of the plan: served in time.
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

/// Plays a scenario. `traffic` has the relative weight of each proxy's requests; where it is empty, clients use the proxies of
/// their zone evenly.
///
/// # Errors
/// The scenario is invalid, or has what the simulation does not cover.
pub fn simulate(s: &Scenario, policy: Policy, traffic: &[f64]) -> Result<Report, ModelError> {
    s.check_up_to(MAX_PROXIES)?;
    let drawn = plan(s);
    let covered = |step: &Step| {
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
    if let Some((_, step)) = drawn.steps.iter().find(|(_, step)| !covered(step)) {
        return Err(ModelError::Uncovered(format!("{step:?}")));
    }
    let hosts = (0..s.proxies).map(|position| host(s, policy, position)).collect::<Result<_, _>>()?;
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
        s,
        policy,
        now: START,
        heap: BinaryHeap::new(),
        order: 0,
        hosts,
        ticks: vec![u64::MAX; s.proxies],
        sent: Vec::new(),
        by_attempt: BTreeMap::new(),
        attempts: BTreeMap::new(),
        served: vec![false; drawn.requests.len()],
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
        plan: drawn,
    };
    world.run()?;
    Ok(world.finish())
}

/// A proxy that has just started.
fn host(s: &Scenario, policy: Policy, position: usize) -> Result<Host, ModelError> {
    let told = s.settings(position);
    let (mut config, _) = settings::read(&Key::root(&told))?;
    config.limits = if let Policy::Module(bounds) = policy { bounds } else { LimitBounds::default() };
    Ok(Host::new(config, mix(s.seed, position as u64))?)
}

impl World<'_> {
    pub(super) fn at(&mut self, at: u64, what: WorldEvent) {
        self.order += 1;
        self.heap.push(Reverse((at.max(self.now), self.order, what)));
    }

    fn run(&mut self) -> Result<(), ModelError> {
        let all: Vec<Backend> = (0..self.nodes.len()).map(|n| self.entry(n, READY)).collect();
        for proxy in 0..self.hosts.len() {
            self.hosts[proxy].list(ListUpdate::Full, all.clone());
            self.plan_tick(proxy);
            if self.s.demand_allocation {
                let phase = (self.views.unit() * OBSERVATION_INTERVAL_US as f64) as u64;
                self.at(START + phase, WorldEvent::Tier(proxy));
            }
        }
        for i in 0..self.plan.requests.len() {
            self.at(START + self.plan.requests[i].at_us, WorldEvent::Try(i, 0));
        }
        for i in 0..self.plan.steps.len() {
            self.at(START + self.plan.steps[i].0, WorldEvent::Step(i));
        }
        let end = START + (self.s.seconds * 1e6) as u64 + DRAIN_US;
        while let Some(Reverse((at, _, what))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match what {
                WorldEvent::Try(ask, number) => self.send_request(ask, number),
                WorldEvent::Turn(proxy) if self.ticks[proxy] == at => {
                    self.ticks[proxy] = u64::MAX;
                    let mut asks = Vec::new();
                    self.hosts[proxy].run(Time(at), &mut asks);
                    self.carry_out(proxy, asks);
                    self.plan_tick(proxy);
                }
                WorldEvent::Turn(_) => {}
                WorldEvent::Reach(sent) => self.reach(sent),
                WorldEvent::Run(node) if self.nodes[node].next_run == at => {
                    self.nodes[node].next_run = u64::MAX;
                    self.advance(node);
                }
                WorldEvent::Run(_) => {}
                WorldEvent::Reply(sent) => self.reply(sent),
                WorldEvent::Outcome(sent, how) => self.outcome(sent, how),
                WorldEvent::Step(step) => self.step(step)?,
                WorldEvent::ListChange(proxy, node, standing, booted) => {
                    self.deliver_change(proxy, node, standing, booted);
                }
                WorldEvent::Expire(sent) => self.expire(sent),
                WorldEvent::Tier(proxy) => self.observe_tier(proxy),
            }
        }
        Ok(())
    }

    pub(super) fn answer(&mut self, request: RequestId, status: u16) {
        if !self.answered.insert(request) {
            return;
        }
        let (index, number) = self.attempts[&request];
        let ask = &self.plan.requests[index];
        *self.report.statuses.entry(status).or_default() += 1;
        let class = &self.s.classes[ask.class];
        self.served[index] |=
            status == 200 && self.now <= START + ask.at_us + (class.objective_ms * 1e3) as u64;
        if number < ask.retries && may_retry(class.effect, status, true) {
            let advised = (status == 503 && ask.follows_retry_after).then_some(RETRY_AFTER_US);
            let wait = advised.unwrap_or(ask.backoff_us << number.min(8));
            self.at(self.now + wait, WorldEvent::Try(index, number + 1));
        }
    }

    fn finish(mut self) -> Report {
        let s = self.s;
        let mut classes = vec![(0.0, 0.0); s.classes.len()];
        let mut seconds = vec![(0.0, 0.0); s.seconds.ceil() as usize];
        for (ask, served) in self.plan.requests.iter().zip(&self.served) {
            let worth = s.classes[ask.class].priority_weight;
            let last = seconds.len() - 1;
            let second = &mut seconds[((ask.at_us / 1_000_000) as usize).min(last)];
            let class = &mut classes[ask.class];
            for (sum, worth) in [(class, 1.0), (second, worth)] {
                sum.0 += worth;
                sum.1 += if *served { worth } else { 0.0 };
            }
        }
        let part = |(all, good): &(f64, f64)| if *all > 0.0 { good / all } else { 1.0 };
        let all = seconds.iter().fold((0.0, 0.0), |n, s| (n.0 + s.0, n.1 + s.1));
        self.report.g = part(&all);
        self.report.in_time = classes.iter().map(part).collect();
        self.report.seconds = seconds.iter().map(part).collect();
        self.report.limits = self.hosts.iter().map(|h| h.balancer.limits()).collect();
        self.report
    }
}
