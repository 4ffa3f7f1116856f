//! The plan of a run, drawn from a scenario before the run starts: every request with its work and its retries, and
//! every step of the fleet. Nothing here reads a clock, so that a seed yields the same plan on every machine.

use crate::datagrams::Links;
use crate::random::{mix, RandomStream};
use crate::scenario::{Disturbance, Effect, Scenario};

/// Time from the end of a node's process to its successor's start in a deploy, in seconds.
const RESTART_AFTER_S: f64 = 0.2;

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Time of the first attempt, in microseconds from the start of the clients.
    pub at_us: u64,
    /// Id of the first attempt.
    pub id: u64,
    /// Its class.
    pub class: usize,
    /// Idempotency key.
    pub key: u64,
    /// Work, in microseconds of a standard core.
    pub work_us: u64,
    /// Time that it waits without using a core, in microseconds.
    pub wait_us: u64,
    /// Zone of the client.
    pub zone: usize,
    /// Deadline of the client, in microseconds.
    pub patience_us: u64,
    /// Maximum number of retries.
    pub retries: u32,
    /// Backoff before the first retry, in microseconds; doubled for each further one, except in a reconnect storm.
    pub backoff_us: u64,
    /// Whether the client follows `Retry-After`.
    pub follows_retry_after: bool,
    /// Time until the client disconnects if it has received no response, in microseconds.
    pub disconnects_after_us: Option<u64>,
    /// Whether it writes its request slowly, in chunks.
    pub slow_writing: bool,
    /// Whether it reads its response late.
    pub slow_reading: bool,
    /// Whether it sends a single request on its connection and leaves the connection open.
    pub single_request: bool,
    /// Number of the client in a reconnect storm. Such a client has its own address and connections, and a constant
    /// backoff.
    pub storm_client: Option<u32>,
}

/// One change to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A node's process starts, in slow start.
    NodeStart(usize),
    /// A node's process crashes; discovery detects it after a delay.
    NodeCrash(usize),
    /// Discovery announces that a node drains; the node keeps running.
    NodeDrain(usize),
    /// A node leaves after a drain.
    NodeStop(usize),
    /// A node stops responding; its connections stay open.
    NodeVanish(usize),
    /// A node is slowed down by a factor.
    NodeSlow(usize, f64),
    /// While true, a node accepts requests and completes none.
    NodeHang(usize, bool),
    /// A node corrupts a fraction of its responses.
    NodeSpoil(usize, f64),
    /// A node resets a fraction of its connections.
    NodeResets(usize, f64),
    /// While true, no data passes between a proxy and a node.
    LinkPartition(usize, usize, bool),
    /// Additional latency between a proxy and a node, each way, in microseconds.
    LinkDelay(usize, usize, u64),
    /// Additional latency between regions, each way, in microseconds.
    RegionDelay(u64),
    /// While true, no data passes between regions.
    RegionPartition(bool),
    /// All regions get new keys.
    NewKeys,
    /// While true, discovery does not respond.
    DiscoveryDown(bool),
    /// Discovery moves to another address.
    DiscoveryMove,
    /// A proxy is killed.
    ProxyKill(usize),
    /// A proxy starts.
    ProxyStart(usize),
    /// A proxy is stopped (SIGSTOP) while true, and continued (SIGCONT) while false.
    ProxyStop(usize, bool),
    /// A proxy terminates gracefully and is started again.
    ProxyRestart(usize),
    /// A proxy terminates gracefully.
    ProxyLeave(usize),
    /// The network between the proxies changes to this state.
    Network(Links),
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Ordered by time.
    pub requests: Vec<PlannedRequest>,
    /// Ordered by time, in microseconds from the start of the clients.
    pub steps: Vec<(u64, Step)>,
}

/// The id of a retry, derived from the id of the first attempt and the number of the retry.
pub fn retry_id(first: u64, number: u32) -> u64 {
    mix(first, u64::from(number) + 0x5eed) | 1
}

/// Draws the plan of a scenario.
pub fn plan(s: &Scenario) -> Plan {
    Plan { requests: draw_requests(s), steps: steps(s) }
}

fn draw_requests(s: &Scenario) -> Vec<PlannedRequest> {
    let mut times = RandomStream::new(s.seed, "arrivals");
    let mut random = RandomStream::new(s.seed, "requests");
    let (mut at, mut requests) = (0.0, Vec::new());
    loop {
        // Thinning: arrivals are drawn at the highest rate and accepted with the ratio of the current rate to it.
        let max_factor = rates(s).fold(1.0, f64::max);
        at += times.exponential(1.0 / (s.clients.per_s * max_factor));
        if at >= s.seconds {
            requests.extend(draw_storms(s));
            requests.sort_by_key(|a| a.at_us);
            return requests;
        }
        if !times.bernoulli(rate(s, at) / max_factor) {
            continue;
        }
        let retries = random.below(s.clients.retries as usize + 1) as u32;
        let client_policy = RetryPolicy {
            retries,
            backoff_ms: s.clients.backoff_ms,
            honour: s.clients.honour,
            storm_client: None,
        };
        requests.push(draw_request(s, &mut random, at, &client_policy));
    }
}

/// How a client retries.
struct RetryPolicy {
    retries: u32,
    backoff_ms: [f64; 2],
    honour: f64,
    storm_client: Option<u32>,
}

fn draw_request(
    s: &Scenario, random: &mut RandomStream, at: f64, retry_policy: &RetryPolicy,
) -> PlannedRequest {
    let mut point = random.unit() * s.classes.iter().map(|c| c.weight).sum::<f64>();
    let class = s.classes.iter().position(|c| {
        point -= c.weight;
        point < 0.0
    });
    let class = class.unwrap_or(s.classes.len() - 1);
    let c = &s.classes[class];
    let patience = c.deadline_ms * random.uniform(s.clients.patience);
    let is_regular = retry_policy.storm_client.is_none();
    let disconnects = random.bernoulli(s.clients.leaving).then(|| (patience * random.unit() * 1e3) as u64);
    PlannedRequest {
        at_us: (at * 1e6) as u64,
        id: random.bits() | 1,
        class,
        key: random.bits(),
        work_us: (random.lognormal(c.work_ms, c.work_cv) * 1e3) as u64,
        wait_us: (random.exponential(c.wait_ms) * 1e3) as u64,
        zone: random.below(s.zones),
        patience_us: patience as u64 * 1000,
        retries: retry_policy.retries,
        backoff_us: (random.uniform(retry_policy.backoff_ms) * 1e3) as u64,
        follows_retry_after: random.bernoulli(retry_policy.honour),
        disconnects_after_us: disconnects.filter(|_| is_regular),
        slow_writing: random.bernoulli(s.clients.slow_writing) && is_regular,
        slow_reading: random.bernoulli(s.clients.slow_reading) && is_regular,
        single_request: random.bernoulli(s.clients.single_request) && is_regular,
        storm_client: retry_policy.storm_client,
    }
}

/// The requests of all reconnect storms, drawn from a separate random stream.
fn draw_storms(s: &Scenario) -> Vec<PlannedRequest> {
    let mut random = RandomStream::new(s.seed, "crowds");
    let (mut requests, mut number) = (Vec::new(), 0);
    for event in &s.events {
        let Disturbance::ReconnectStorm { clients, over_s, attempts, wait_ms, honour } = event.disturbance
        else {
            continue;
        };
        for _ in 0..clients {
            let storm_policy = RetryPolicy {
                retries: attempts.saturating_sub(1),
                backoff_ms: wait_ms,
                honour,
                storm_client: Some(number),
            };
            let at = event.at_s + over_s * random.unit();
            requests.push(draw_request(s, &mut random, at, &storm_policy));
            number += 1;
        }
    }
    requests
}

fn rates(s: &Scenario) -> impl Iterator<Item = f64> + '_ {
    s.events.iter().map(|e| if let Disturbance::Burst { factor, .. } = e.disturbance { factor } else { 1.0 })
}

/// Factor of the mean arrival rate at a time.
fn rate(s: &Scenario, at: f64) -> f64 {
    let on = s.events.iter().filter_map(|e| match e.disturbance {
        Disturbance::Burst { factor, for_s } if at >= e.at_s && at < e.at_s + for_s => Some(factor),
        _ => None,
    });
    on.fold(1.0, f64::max)
}

/// The steps of all disturbances, ordered by time.
fn steps(s: &Scenario) -> Vec<(u64, Step)> {
    let mut schedule = Schedule { scenario: s, steps: Vec::new() };
    for event in &s.events {
        schedule.add_disturbance(event.at_s, &event.disturbance);
    }
    schedule.steps.sort_by_key(|step| step.0);
    schedule.steps
}

/// Steps under construction.
struct Schedule<'a> {
    scenario: &'a Scenario,
    steps: Vec<(u64, Step)>,
}

impl Schedule<'_> {
    fn add(&mut self, at_s: f64, step: Step) {
        self.steps.push(((at_s * 1e6) as u64, step));
    }

    /// Adds a step and the step that undoes it.
    fn add_for(&mut self, at_s: f64, for_s: f64, step: Step, undo: Step) {
        self.add(at_s, step);
        self.add(at_s + for_s, undo);
    }

    /// Time from a drain's start until every proxy has received it and its grace has passed, in seconds. A node that
    /// leaves earlier appears to have crashed.
    fn drain_known_s(&self) -> f64 {
        self.scenario.discovery.notice_s[1] + self.scenario.rules.drain_grace_ms / 1e3 + 0.5
    }

    fn add_disturbance(&mut self, at: f64, disturbance: &Disturbance) {
        match disturbance.clone() {
            Disturbance::Crash { node, back_after_s } => {
                self.add(at, Step::NodeCrash(node));
                self.add_successor(at, node, back_after_s);
            }
            Disturbance::Drain { node, over_s, back_after_s } => {
                self.add_for(at, over_s, Step::NodeDrain(node), Step::NodeStop(node));
                self.add_successor(at + over_s, node, back_after_s);
            }
            Disturbance::Deploy { nodes, group, every_s } => self.add_deploy(at, nodes, group, every_s),
            Disturbance::Shrink { nodes, over_s } => self.add_shrink(at, nodes, over_s),
            Disturbance::ZoneOutage { zone, for_s } => self.add_zone_outage(at, zone, for_s),
            Disturbance::Slow { node, factor, for_s } => {
                self.add_for(at, for_s, Step::NodeSlow(node, factor), Step::NodeSlow(node, 1.0));
            }
            Disturbance::Hang { node, for_s } => {
                self.add_for(at, for_s, Step::NodeHang(node, true), Step::NodeHang(node, false));
            }
            Disturbance::Spoil { node, fraction, for_s } => {
                self.add_for(at, for_s, Step::NodeSpoil(node, fraction), Step::NodeSpoil(node, 0.0));
            }
            Disturbance::Resets { node, fraction, for_s } => {
                self.add_for(at, for_s, Step::NodeResets(node, fraction), Step::NodeResets(node, 0.0));
            }
            Disturbance::LinkPartition { proxy, node, for_s } => {
                self.add_link_partition(at, for_s, proxy, node);
            }
            Disturbance::Delay { proxy, node, by_ms, for_s } => {
                let step = |by_us| Step::LinkDelay(proxy, node, by_us);
                self.add_for(at, for_s, step((by_ms * 1e3) as u64), step(0));
            }
            Disturbance::DiscoveryDown { for_s } => {
                self.add_for(at, for_s, Step::DiscoveryDown(true), Step::DiscoveryDown(false));
            }
            Disturbance::DiscoveryMove {} => self.add(at, Step::DiscoveryMove),
            Disturbance::Network { links, zones, for_s } => {
                let step = Step::Network(links.clone());
                self.add_for(at, for_s, step, Step::Network(Links::default()));
                self.add_zone_partitions(at, for_s, &links, &zones);
            }
            Disturbance::RegionDelay { by_ms, for_s } => {
                self.add_for(at, for_s, Step::RegionDelay((by_ms * 1e3) as u64), Step::RegionDelay(0));
            }
            Disturbance::RegionPartition { for_s } => {
                self.add_for(at, for_s, Step::RegionPartition(true), Step::RegionPartition(false));
            }
            Disturbance::NewKeys { times, every_s } => {
                (0..times).for_each(|n| self.add(at + f64::from(n) * every_s, Step::NewKeys));
            }
            Disturbance::KillProxy { proxy, back_after_s } => {
                self.add_for(at, back_after_s, Step::ProxyKill(proxy), Step::ProxyStart(proxy));
            }
            Disturbance::StopProxy { proxy, for_s } => {
                self.add_for(at, for_s, Step::ProxyStop(proxy, true), Step::ProxyStop(proxy, false));
            }
            Disturbance::RestartProxy { proxy } => self.add(at, Step::ProxyRestart(proxy)),
            Disturbance::LoseProxy { proxy } => self.add(at, Step::ProxyKill(proxy)),
            Disturbance::LeaveProxy { proxy } => self.add(at, Step::ProxyLeave(proxy)),
            Disturbance::JoinProxy { proxy } => self.add(at, Step::ProxyStart(proxy)),
            Disturbance::RollProxies { group, every_s } => self.add_roll(at, group, every_s),
            // Both change the arrivals and add no step.
            Disturbance::Burst { .. } | Disturbance::ReconnectStorm { .. } => {}
        }
    }

    /// Adds the start of a node's successor, if there is one.
    fn add_successor(&mut self, at: f64, node: usize, after_s: Option<f64>) {
        if let Some(after_s) = after_s {
            self.add(at + after_s, Step::NodeStart(node));
        }
    }

    fn add_zone_outage(&mut self, at: f64, zone: usize, for_s: f64) {
        for node in (0..self.scenario.nodes()).filter(|node| node % self.scenario.zones == zone) {
            self.add_for(at, for_s, Step::NodeVanish(node), Step::NodeStart(node));
        }
    }

    fn add_roll(&mut self, at: f64, group: usize, every_s: f64) {
        for proxy in 0..self.scenario.proxies {
            self.add(at + (proxy / group) as f64 * every_s, Step::ProxyRestart(proxy));
        }
    }

    fn add_link_partition(&mut self, at: f64, for_s: f64, proxy: usize, node: usize) {
        let step = |on| Step::LinkPartition(proxy, node, on);
        self.add_for(at, for_s, step(true), step(false));
    }

    fn add_deploy(&mut self, at: f64, nodes: usize, group: usize, every_s: f64) {
        let known_s = self.drain_known_s();
        for node in 0..nodes {
            let at = at + (node / group) as f64 * every_s;
            self.add_for(at, known_s, Step::NodeDrain(node), Step::NodeStop(node));
            self.add(at + known_s + RESTART_AFTER_S, Step::NodeStart(node));
        }
    }

    fn add_shrink(&mut self, at: f64, leaving: usize, over_s: f64) {
        let known_s = self.drain_known_s();
        for i in 0..leaving {
            let node = self.scenario.nodes() - 1 - i;
            let at = at + over_s * i as f64 / leaving as f64;
            self.add_for(at, known_s, Step::NodeDrain(node), Step::NodeStop(node));
        }
    }

    /// Partitions each proxy from the nodes in zones of another group.
    fn add_zone_partitions(&mut self, at: f64, for_s: f64, links: &Links, zones: &[u8]) {
        for proxy in 0..self.scenario.proxies {
            for node in 0..self.scenario.nodes() {
                let group = zones.get(node % self.scenario.zones);
                if group.is_some_and(|group| *group != links.groups[proxy]) {
                    self.add_link_partition(at, for_s, proxy, node);
                }
            }
        }
    }
}

/// Whether a client may retry after a status (0: it could not reach a proxy, or its connection broke).
pub fn may_retry(effect: Effect, status: u16, reached: bool) -> bool {
    match effect {
        Effect::Safe => status != 200,
        Effect::Keyed | Effect::Unsafe => !reached || matches!(status, 429 | 503),
    }
}

#[cfg(test)]
mod tests;
