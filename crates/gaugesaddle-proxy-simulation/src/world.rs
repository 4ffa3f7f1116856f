//! The world in virtual time: a heap of moments, machines, clients and the news of the list.

use crate::host::{Ask, Host};
use gaugesaddle_allocation::{Allocation, Allocator, AllocatorSettings, DemandEstimator, TierView};
use gaugesaddle_balancer::settings::{self, number, Key};
use gaugesaddle_balancer::{
    Arrival, AttemptNo, Backend, BackendId, BackendState, ClassId, ConfigError, Event, KindId, LimitBounds,
    ListUpdate, Micros, Outcome, RequestId, Time, ZoneId,
};
use gaugesaddle_testbed::dice::{mix, Dice};
use gaugesaddle_testbed::plan::{may_retry, plan, retry_id, Plan, Step};
use gaugesaddle_testbed::processor::Processor;
use gaugesaddle_testbed::scenario::{hall, Kind};
use gaugesaddle_testbed::Scenario;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// One way between a proxy and a node, in microseconds: loopback and a stand-in's turn.
pub const HOP_US: u64 = 300;
/// Proxies of a run: as many as a tier may have.
const MOST_PROXIES: usize = 4096;
/// The first moment: the module's clock is Unix time and a node that booted at 0 means long ago.
const START: u64 = 1_000_000_000_000;
/// The plain relay waits for a node for this part of the client's time.
const RELAY_PART: f64 = 0.8;
/// The tier is looked at this often, at each proxy at moments of its own.
const LOOK_US: u64 = 500_000;
/// A death is known so long after it, a start after this: what the tier of processes was measured at.
const DEATH_KNOWN_US: u64 = 1_700_000;
const START_KNOWN_US: u64 = 200_000;
/// A run goes on for so long after the last arrival: the longest deadline of any scenario and some retries.
const AFTER_US: u64 = 10_000_000;
/// The retry of one that follows the advice waits for so long: the program's whole seconds.
const ADVICE_US: u64 = 2_000_000;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The decision module, with these bounds on the limit of a backend; least and most alike: a constant.
    Module(LimitBounds),
    /// Round robin over the ready nodes, one attempt.
    Relay,
}

/// What became of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Worth in time over worth asked for, tries after the first counted to it.
    pub g: f64,
    /// The part in time, by class.
    pub in_time: Vec<f64>,
    /// The same as `g`, by whole seconds of asking.
    pub seconds: Vec<f64>,
    /// Answers by status, of all tries.
    pub statuses: BTreeMap<u16, u64>,
    /// How often a node choked.
    pub chokes: u64,
    /// The most that a node ever held, waits included, by place.
    pub most_held: Vec<usize>,
    /// What each proxy last knew of each backend.
    pub limits: Vec<Vec<gaugesaddle_balancer::LimitView>>,
}

/// Why a scenario can't be simulated.
#[derive(Debug, thiserror::Error)]
pub enum ModelError {
    /// The scenario itself is unsound.
    #[error("{0}")]
    Scenario(#[from] gaugesaddle_testbed::ScenarioError),
    /// Its settings are.
    #[error("{0}")]
    Settings(#[from] settings::KeyError),
    /// The module did not take them.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// It has what the model does not.
    #[error("events: expected only what the model covers, got {0}")]
    Uncovered(String),
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    /// A client tries: which request of the plan, which try.
    Try(usize, u32),
    /// A proxy's turn.
    Turn(usize),
    /// A request arrives at a node.
    Reach(usize),
    /// A node's machine.
    Run(usize),
    /// Its waits are over: the answer goes out.
    Reply(usize),
    /// An outcome arrives at a proxy.
    Outcome(usize, u8),
    /// A step of the plan.
    Step(usize),
    /// News of a node at a proxy.
    News(usize, usize, u8, u64),
    /// The plain relay gives up.
    Expire(usize),
    /// A proxy tells its need and looks at the tier.
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
const GONE: u8 = 2;

struct Node {
    kind: Kind,
    machine: Option<Processor>,
    /// The start of the process, and its number: what belongs to an older one is dropped.
    booted: u64,
    boots: u32,
    next_run: u64,
    /// Attempts that it holds, waits included.
    holds: usize,
}

/// An attempt, by its number among all.
struct Sent {
    proxy: usize,
    request: RequestId,
    no: AttemptNo,
    node: usize,
    boots: u32,
    work_us: u64,
    wait_us: u64,
    /// Nobody waits for it any more.
    dropped: bool,
    done: bool,
}

/// A proxy among those that know one another.
struct Place {
    /// Since when it runs, or has not.
    since: u64,
    up: bool,
    dealer: Allocator,
    need: DemandEstimator,
    came: u32,
    /// What it told at its last two looks: others may have the older one yet.
    told: [Option<f64>; 2],
}

impl Place {
    fn new() -> Place {
        let dealer = Allocator::new(AllocatorSettings::default());
        Place { since: 0, up: true, dealer, need: DemandEstimator::default(), came: 0, told: [None; 2] }
    }

    /// Whether others hold that it lives.
    fn held_alive(&self, now: u64) -> bool {
        let known = if self.up { START_KNOWN_US } else { DEATH_KNOWN_US };
        self.up == (self.since == 0 || now >= self.since + known)
    }
}

struct World<'a> {
    s: &'a Scenario,
    plan: Plan,
    policy: Policy,
    now: u64,
    heap: BinaryHeap<Reverse<(u64, u64, What)>>,
    order: u64,
    nodes: Vec<Node>,
    hosts: Vec<Host>,
    turns: Vec<u64>,
    sent: Vec<Sent>,
    by_attempt: BTreeMap<(usize, RequestId, AttemptNo), usize>,
    /// Of each try: its request in the plan and its number.
    tries: BTreeMap<RequestId, (usize, u32)>,
    /// Of each request of the plan: served in time.
    served: Vec<bool>,
    answered: BTreeSet<RequestId>,
    ready: Vec<Vec<bool>>,
    places: Vec<Place>,
    views: Dice,
    turn: usize,
    traffic: Vec<f64>,
    delays: Dice,
    delivered: BTreeMap<(usize, usize), u64>,
    report: Report,
}

/// Plays a scenario. `traffic` has a proxy's part of the requests beside the others'; empty: all alike, those of a
/// hall to its proxies.
pub fn simulate(s: &Scenario, policy: Policy, traffic: &[f64]) -> Result<Report, ModelError> {
    s.check_up_to(MOST_PROXIES)?;
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
        holds: 0,
    };
    let nodes: Vec<Node> = kinds.map(node).collect();
    let mut world = World {
        s,
        policy,
        now: START,
        heap: BinaryHeap::new(),
        order: 0,
        hosts,
        turns: vec![u64::MAX; s.proxies],
        sent: Vec::new(),
        by_attempt: BTreeMap::new(),
        tries: BTreeMap::new(),
        served: vec![false; drawn.asks.len()],
        answered: BTreeSet::new(),
        ready: vec![vec![true; nodes.len()]; s.proxies],
        places: (0..s.proxies).map(|_| Place::new()).collect(),
        views: Dice::new(s.seed, "views"),
        turn: 0,
        traffic: traffic.to_vec(),
        delays: Dice::new(s.seed, "discovery"),
        delivered: BTreeMap::new(),
        report: Report { most_held: vec![0; nodes.len()], ..Report::default() },
        nodes,
        plan: drawn,
    };
    world.run()?;
    Ok(world.judge())
}

/// A proxy that has just started.
fn host(s: &Scenario, policy: Policy, position: usize) -> Result<Host, ModelError> {
    let told = s.settings(position);
    let (mut config, _) = settings::read(&Key::root(&told))?;
    config.limits = if let Policy::Module(bounds) = policy { bounds } else { LimitBounds::default() };
    Ok(Host::new(config, mix(s.seed, position as u64))?)
}

impl World<'_> {
    fn at(&mut self, at: u64, what: What) {
        self.order += 1;
        self.heap.push(Reverse((at.max(self.now), self.order, what)));
    }

    fn run(&mut self) -> Result<(), ModelError> {
        let all: Vec<Backend> = (0..self.nodes.len()).map(|n| self.entry(n, READY)).collect();
        for proxy in 0..self.hosts.len() {
            self.hosts[proxy].list(ListUpdate::Full, all.clone());
            self.plan_turn(proxy);
            if self.s.shares {
                let phase = (self.views.unit() * LOOK_US as f64) as u64;
                self.at(START + phase, What::Tier(proxy));
            }
        }
        for i in 0..self.plan.asks.len() {
            self.at(START + self.plan.asks[i].at_us, What::Try(i, 0));
        }
        for i in 0..self.plan.steps.len() {
            self.at(START + self.plan.steps[i].0, What::Step(i));
        }
        let end = START + (self.s.seconds * 1e6) as u64 + AFTER_US;
        while let Some(Reverse((at, _, what))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match what {
                What::Try(ask, number) => self.ask(ask, number),
                What::Turn(proxy) if self.turns[proxy] == at => {
                    self.turns[proxy] = u64::MAX;
                    let mut asks = Vec::new();
                    self.hosts[proxy].run(Time(at), &mut asks);
                    self.carry_out(proxy, asks);
                    self.plan_turn(proxy);
                }
                What::Turn(_) => {}
                What::Reach(sent) => self.reach(sent),
                What::Run(node) if self.nodes[node].next_run == at => {
                    self.nodes[node].next_run = u64::MAX;
                    self.advance(node);
                }
                What::Run(_) => {}
                What::Reply(sent) => self.reply(sent),
                What::Outcome(sent, how) => self.outcome(sent, how),
                What::Step(step) => self.step(step)?,
                What::News(proxy, node, standing, booted) => self.news(proxy, node, standing, booted),
                What::Expire(sent) => self.expire(sent),
                What::Tier(proxy) => self.look(proxy),
            }
        }
        Ok(())
    }

    /// What a proxy makes of its tier: of each other it has the newest need or the one before, and it learns late of who
    /// comes and goes.
    fn look(&mut self, proxy: usize) {
        self.at(self.now + LOOK_US, What::Tier(proxy));
        if !self.places[proxy].up {
            return;
        }
        let own = &mut self.places[proxy];
        let need = own.need.record(std::mem::take(&mut own.came), LOOK_US as f64 / 1e6);
        own.told = [need, own.told[0]];
        let (now, since) = (self.now, own.since.max(START));
        let known = (0..self.places.len()).filter(|p| *p == proxy || self.places[*p].held_alive(now));
        let living: Vec<u16> = known.map(|p| p as u16).collect();
        let views = &mut self.views;
        let needs: Vec<Option<f64>> = living
            .iter()
            .map(|p| self.places[usize::from(*p)].told[usize::from(views.chance(0.5))])
            .collect();
        let position = living.iter().position(|p| usize::from(*p) == proxy).unwrap_or(0);
        // Of who comes and goes later it learns late, but nobody is met by and by here.
        let awake = Micros(now - since);
        let told = self.places.len();
        let seen = TierView {
            configured: told,
            uptime: awake,
            unchanged_for: awake,
            own: position,
            indices: &living,
            demands: &needs,
        };
        let (dealer, host) = (&mut self.places[proxy].dealer, &mut self.hosts[proxy]);
        if let Allocation::ByDemand(tier) = dealer.observe(Time(now), &seen, host.balancer.listed()) {
            host.told([Event::Tier(tier), Event::Uses(dealer.uses().to_vec())]);
            self.plan_turn(proxy);
        }
    }

    /// A proxy's process ends, and its connections with it.
    fn kill(&mut self, proxy: usize) {
        if !std::mem::replace(&mut self.places[proxy].up, false) {
            return;
        }
        self.places[proxy].since = self.now;
        self.turns[proxy] = u64::MAX;
        for request in self.hosts[proxy].end() {
            self.answer(request, RESET_STATUS);
        }
        self.out(|s| s.proxy == proxy).into_iter().for_each(|sent| self.call_off(sent));
    }

    /// Attempts of these that somebody waits for, the newest first.
    fn out(&self, of: impl Fn(&Sent) -> bool) -> Vec<usize> {
        // Older ones are past every deadline.
        let newest = (0..self.sent.len()).rev().take(20_000);
        newest.filter(|i| !self.sent[*i].dropped && of(&self.sent[*i])).collect()
    }

    /// It starts anew, and is told the list.
    fn start(&mut self, proxy: usize) -> Result<(), ModelError> {
        let (host, now) = (host(self.s, self.policy, proxy)?, self.now);
        self.hosts[proxy] = host;
        self.places[proxy] = Place { since: now, ..Place::new() };
        let standing = |n: usize| if self.ready[proxy][n] { READY } else { GONE };
        let all = (0..self.nodes.len()).map(|n| self.entry(n, standing(n))).collect();
        self.hosts[proxy].list(ListUpdate::Full, all);
        self.plan_turn(proxy);
        Ok(())
    }

    fn plan_turn(&mut self, proxy: usize) {
        if let Some(next) = self.hosts[proxy].next() {
            let next = next.0.max(self.now);
            if next < self.turns[proxy] {
                self.turns[proxy] = next;
                self.at(next, What::Turn(proxy));
            }
        }
    }

    fn entry(&self, node: usize, standing: u8) -> Backend {
        let n = &self.nodes[node];
        Backend {
            id: BackendId(mix(7, node as u64)),
            zone: ZoneId(number(&hall(node % self.s.halls))),
            kind: KindId(number(&n.kind.name)),
            state: [BackendState::Ready, BackendState::Draining, BackendState::Departed][standing as usize],
            booted: (n.booted > 0).then_some(Time(n.booted)),
            weight: 1.0,
            ..Backend::default()
        }
    }

    fn ask(&mut self, index: usize, number: u32) {
        let ask = self.plan.asks[index].clone();
        let id = RequestId(if number == 0 { ask.id } else { retry_id(ask.id, number) });
        let drawn = mix(ask.id, u64::from(number));
        let proxies = self.s.proxies;
        let up = |p: &usize| self.places[*p].up;
        let near: Vec<usize> = (0..proxies).filter(|p| p % self.s.halls == ask.hall).filter(up).collect();
        let traffic = |p: usize| if up(&p) { self.traffic.get(p).copied().unwrap_or(0.0) } else { 0.0 };
        let all: f64 = (0..proxies).map(traffic).sum();
        let proxy = if all > 0.0 {
            let mut point = (drawn >> 11) as f64 / (1u64 << 53) as f64 * all;
            let hit = (0..proxies).position(|p| {
                point -= traffic(p);
                point < 0.0
            });
            hit.unwrap_or(0)
        } else if near.is_empty() {
            let left: Vec<usize> = (0..proxies).filter(up).collect();
            if left.is_empty() {
                self.tries.insert(id, (index, number));
                return self.answer(id, RESET_STATUS);
            }
            left[(drawn % left.len() as u64) as usize]
        } else {
            near[(drawn % near.len() as u64) as usize]
        };
        self.tries.insert(id, (index, number));
        if self.policy == Policy::Relay {
            let nodes = self.nodes.len();
            for _ in 0..nodes {
                self.turn = (self.turn + 1) % nodes;
                if self.ready[proxy][self.turn] {
                    let sent = self.send(proxy, id, AttemptNo(0), self.turn);
                    let wait = (ask.patience_us as f64 * RELAY_PART) as u64;
                    return self.at(self.now + wait, What::Expire(sent));
                }
            }
            return self.answer(id, 502);
        }
        let arrival = Arrival {
            request: id,
            class: ClassId(ask.class),
            tenant: None,
            remaining: Micros(ask.patience_us),
            work_hint: None,
            repeat: number > 0 && self.s.clients.mark_retries,
            retried_early: false,
            from_other_region: false,
        };
        self.places[proxy].came += 1;
        self.hosts[proxy].arrived(Time(self.now), arrival);
        self.plan_turn(proxy);
    }

    fn send(&mut self, proxy: usize, request: RequestId, no: AttemptNo, node: usize) -> usize {
        let (index, _) = self.tries[&request];
        let (work_us, wait_us) = (self.plan.asks[index].work_us, self.plan.asks[index].wait_us);
        let sent = self.sent.len();
        let (boots, dropped, done) = (self.nodes[node].boots, false, false);
        self.sent.push(Sent { proxy, request, no, node, boots, work_us, wait_us, dropped, done });
        self.by_attempt.insert((proxy, request, no), sent);
        self.at(self.now + HOP_US, What::Reach(sent));
        sent
    }

    fn carry_out(&mut self, proxy: usize, asks: Vec<Ask>) {
        for ask in asks {
            match ask {
                Ask::Send { request, attempt, backend } => {
                    let node = (0..self.nodes.len()).find(|n| BackendId(mix(7, *n as u64)) == backend);
                    if let Some(node) = node {
                        self.send(proxy, request, attempt, node);
                    }
                }
                Ask::Stop { request, attempt } => {
                    if let Some(&sent) = self.by_attempt.get(&(proxy, request, attempt)) {
                        self.call_off(sent);
                    }
                }
                Ask::Answer { request, status } => self.answer(request, status),
            }
        }
    }

    /// Nobody waits for it any more: what waits at its node is dropped, what runs goes on.
    fn call_off(&mut self, sent: usize) {
        let s = &mut self.sent[sent];
        s.dropped = true;
        let n = &mut self.nodes[s.node];
        if !s.done && n.boots == s.boots {
            if let Some(machine) = &mut n.machine {
                if machine.drop_waiting(sent as u64) {
                    s.done = true;
                    n.holds -= 1;
                }
            }
        }
    }

    fn answer(&mut self, request: RequestId, status: u16) {
        if !self.answered.insert(request) {
            return;
        }
        let (index, number) = self.tries[&request];
        let ask = &self.plan.asks[index];
        *self.report.statuses.entry(status).or_default() += 1;
        let class = &self.s.classes[ask.class];
        self.served[index] |= status == 200 && self.now <= START + ask.at_us + (class.aim_ms * 1e3) as u64;
        if number < ask.retries && may_retry(class.effect, status, true) {
            let advised = (status == 503 && ask.honours).then_some(ADVICE_US);
            let wait = advised.unwrap_or(ask.backoff_us << number.min(8));
            self.at(self.now + wait, What::Try(index, number + 1));
        }
    }

    fn reach(&mut self, sent: usize) {
        let (node, work) = (self.sent[sent].node, self.sent[sent].work_us);
        self.advance(node);
        let (n, s) = (&mut self.nodes[node], &self.sent[sent]);
        let Some(machine) = n.machine.as_mut().filter(|_| n.boots == s.boots) else {
            return self.at(self.now + HOP_US, What::Outcome(sent, NO_CONNECTION));
        };
        if s.dropped {
            return;
        }
        if machine.offer(self.now, sent as u64, work) {
            n.holds += 1;
            self.report.most_held[node] = self.report.most_held[node].max(n.holds);
            self.plan_run(node);
        } else {
            self.at(self.now + HOP_US, What::Outcome(sent, FULL));
        }
    }

    fn plan_run(&mut self, node: usize) {
        let next = self.nodes[node].machine.as_ref().and_then(Processor::next);
        let next = next.unwrap_or(u64::MAX).max(self.now + 1);
        if next < self.nodes[node].next_run || self.nodes[node].next_run <= self.now {
            self.nodes[node].next_run = next;
            self.at(next, What::Run(node));
        }
    }

    fn advance(&mut self, node: usize) {
        let mut ended = Vec::new();
        let n = &mut self.nodes[node];
        if let Some(machine) = &mut n.machine {
            let before = machine.choked;
            machine.run(self.now, &mut ended);
            self.report.chokes += u64::from(machine.choked && !before);
        }
        for id in ended {
            let wait = self.sent[id as usize].wait_us;
            self.sent[id as usize].done = true;
            self.at(self.now + wait, What::Reply(id as usize));
        }
        self.plan_run(node);
    }

    fn reply(&mut self, sent: usize) {
        let s = &self.sent[sent];
        if self.nodes[s.node].boots != s.boots || self.nodes[s.node].machine.is_none() {
            return; // reset already
        }
        self.nodes[s.node].holds -= 1;
        if !s.dropped {
            self.at(self.now + HOP_US, What::Outcome(sent, OK));
        }
    }

    fn outcome(&mut self, sent: usize, how: u8) {
        let s = &mut self.sent[sent];
        if std::mem::replace(&mut s.dropped, true) {
            return;
        }
        let (proxy, request, no) = (s.proxy, s.request, s.no);
        if self.policy == Policy::Relay {
            return self.answer(request, if how == OK { 200 } else { 502 });
        }
        let outcome = [Outcome::Ok, Outcome::Full, Outcome::Reset, Outcome::ConnectFailed][how as usize];
        let mut asks = Vec::new();
        if !self.places[proxy].up {
            return;
        }
        self.hosts[proxy].ended(Time(self.now), request, no, outcome, &mut asks);
        self.carry_out(proxy, asks);
        self.plan_turn(proxy);
    }

    fn expire(&mut self, sent: usize) {
        if !self.sent[sent].dropped {
            self.call_off(sent);
            self.answer(self.sent[sent].request, 502);
        }
    }

    fn step(&mut self, step: usize) -> Result<(), ModelError> {
        let d = &self.s.discovery;
        match self.plan.steps[step].1 {
            Step::NodeStart(node) => {
                let n = &mut self.nodes[node];
                (n.boots, n.booted, n.holds) = (n.boots + 1, self.now, 0);
                n.machine = Some(Processor::new(&n.kind, self.s.choke, self.now, true));
                n.next_run = u64::MAX;
                self.publish(node, READY, d.add_s);
            }
            Step::NodeCrash(node) => {
                self.down(node);
                self.publish(node, GONE, d.silent_notice_s);
            }
            Step::NodeStop(node) => {
                self.down(node);
                self.publish(node, GONE, d.notice_s);
            }
            Step::NodeDrain(node) => self.publish(node, DRAINING, d.notice_s),
            Step::NodeSlow(node, factor) => {
                self.advance(node);
                self.nodes[node].machine.iter_mut().for_each(|m| m.slow = factor);
                self.plan_run(node);
            }
            Step::NodeHang(node, hung) => {
                self.advance(node);
                self.nodes[node].machine.iter_mut().for_each(|m| m.hung = hung);
                self.plan_run(node);
            }
            Step::ProxyKill(proxy) => self.kill(proxy),
            Step::ProxyStart(proxy) => self.start(proxy)?,
            _ => {}
        }
        Ok(())
    }

    /// Its process ends; its connections are reset.
    fn down(&mut self, node: usize) {
        self.nodes[node].machine = None;
        let boots = self.nodes[node].boots;
        let held = self.out(|s| s.node == node && s.boots == boots);
        held.into_iter().for_each(|sent| self.at(self.now + HOP_US, What::Outcome(sent, RESET)));
    }

    fn publish(&mut self, node: usize, standing: u8, within_s: [f64; 2]) {
        let booted = self.nodes[node].booted;
        for proxy in 0..self.hosts.len() {
            let delay = (self.delays.within(within_s) * 1e6) as u64;
            let last = self.delivered.get(&(proxy, node)).copied().unwrap_or(0);
            let at = (self.now + delay).max(last + 1); // news don't overtake each other
            self.delivered.insert((proxy, node), at);
            self.at(at, What::News(proxy, node, standing, booted));
        }
    }

    fn news(&mut self, proxy: usize, node: usize, standing: u8, booted: u64) {
        self.ready[proxy][node] = standing == READY;
        if !self.places[proxy].up {
            return;
        }
        let entry = Backend { booted: (booted > 0).then_some(Time(booted)), ..self.entry(node, standing) };
        self.hosts[proxy].list(ListUpdate::Changes, vec![entry]);
        self.plan_turn(proxy);
    }

    fn judge(mut self) -> Report {
        let s = self.s;
        let mut classes = vec![(0.0, 0.0); s.classes.len()];
        let mut seconds = vec![(0.0, 0.0); s.seconds.ceil() as usize];
        for (ask, served) in self.plan.asks.iter().zip(&self.served) {
            let worth = s.classes[ask.class].worth;
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
