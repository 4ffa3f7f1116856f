//! A scenario drawn ahead: every request with its work, every retry's wait, every step of the fleet. Nothing here
//! looks at a clock, so that a seed means the same on every machine, however fast.

use crate::datagrams::Links;
use crate::dice::{mix, Dice};
use crate::scenario::{Effect, Scenario, What};

/// A request of a client, its first try.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// When, in microseconds from the start of the clients.
    pub at_us: u64,
    /// Its id.
    pub id: u64,
    /// Its class, by number.
    pub class: usize,
    /// What it is about.
    pub key: u64,
    /// Work on a standard core.
    pub work_us: u64,
    /// Waiting without a core.
    pub wait_us: u64,
    /// Its hall.
    pub hall: usize,
    /// How long the client waits.
    pub patience_us: u64,
    /// Tries after the first.
    pub retries: u32,
    /// The wait before the first retry; doubled for each further one.
    pub backoff_us: u64,
    /// It follows `Retry-After`.
    pub honours: bool,
    /// It closes its connection so long after it asked, if it has no answer by then.
    pub leaves_us: Option<u64>,
    /// It writes in pieces.
    pub slow_writing: bool,
    /// It lets its answer lie.
    pub slow_reading: bool,
    /// It keeps its connection and never asks on it again.
    pub once: bool,
    /// One of a crowd, by its number: an address and connections of its own, and even waits.
    pub crowd: Option<u32>,
}

/// One thing done to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A process starts at that place, cold.
    NodeStart(usize),
    /// Its process dies; the list learns of it late.
    NodeCrash(usize),
    /// The list says that it drains; it goes on.
    NodeDrain(usize),
    /// It leaves after a drain.
    NodeStop(usize),
    /// It stops answering at all, connections stay open.
    NodeVanish(usize),
    /// It is so many times slower.
    NodeSlow(usize, f64),
    /// It takes requests and answers none while true.
    NodeHang(usize, bool),
    /// It spoils this part of its answers.
    NodeSpoil(usize, f64),
    /// It resets this part of its connections.
    NodeResets(usize, f64),
    /// Nothing passes between a proxy and a node while true.
    LinkCut(usize, usize, bool),
    /// What passes between a proxy and a node comes so many microseconds later.
    LinkDelay(usize, usize, u64),
    /// The way between regions is so many microseconds longer.
    RegionDelay(u64),
    /// Nothing passes between regions while true.
    RegionCut(bool),
    /// All regions get new keys.
    NewKeys,
    /// Discovery is silent while true.
    DiscoveryDown(bool),
    /// Discovery moves.
    DiscoveryMove,
    /// A proxy is killed.
    ProxyKill(usize),
    /// A proxy starts.
    ProxyStart(usize),
    /// A proxy is stopped while true.
    ProxyStop(usize, bool),
    /// A proxy ends as planned and starts again.
    ProxyRestart(usize),
    /// A proxy ends as planned.
    ProxyLeave(usize),
    /// The network between proxies is like this.
    Network(Links),
}

/// A whole run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// In the order of their times.
    pub asks: Vec<Ask>,
    /// In the order of their times.
    pub steps: Vec<(u64, Step)>,
}

/// The id of a retry.
pub fn retry_id(first: u64, number: u32) -> u64 {
    mix(first, u64::from(number) + 0x5eed) | 1
}

/// Draws a scenario.
pub fn plan(s: &Scenario) -> Plan {
    Plan { asks: asks(s), steps: steps(s) }
}

fn asks(s: &Scenario) -> Vec<Ask> {
    let mut times = Dice::new(s.seed, "arrivals");
    let mut what = Dice::new(s.seed, "requests");
    let (mut at, mut asks) = (0.0, Vec::new());
    loop {
        // Thinning: drawn at the highest rate, kept by the present one.
        let most = rates(s).fold(1.0, f64::max);
        at += times.exponential(1.0 / (s.clients.per_s * most));
        if at >= s.seconds {
            asks.extend(crowds(s));
            asks.sort_by_key(|a| a.at_us);
            return asks;
        }
        if !times.chance(rate(s, at) / most) {
            continue;
        }
        let retries = what.below(s.clients.retries as usize + 1) as u32;
        let usual =
            Tries { retries, backoff_ms: s.clients.backoff_ms, honour: s.clients.honour, crowd: None };
        asks.push(ask(s, &mut what, at, &usual));
    }
}

/// How a client tries.
struct Tries {
    retries: u32,
    backoff_ms: [f64; 2],
    honour: f64,
    crowd: Option<u32>,
}

fn ask(s: &Scenario, what: &mut Dice, at: f64, tries: &Tries) -> Ask {
    let mut point = what.unit() * s.classes.iter().map(|c| c.share).sum::<f64>();
    let class = s.classes.iter().position(|c| {
        point -= c.share;
        point < 0.0
    });
    let class = class.unwrap_or(s.classes.len() - 1);
    let c = &s.classes[class];
    let patience = c.deadline_ms * what.within(s.clients.patience);
    let usual = tries.crowd.is_none();
    let leaves = what.chance(s.clients.leaving).then(|| (patience * what.unit() * 1e3) as u64);
    Ask {
        at_us: (at * 1e6) as u64,
        id: what.whole() | 1,
        class,
        key: what.whole(),
        work_us: (what.lognormal(c.work_ms, c.work_cv) * 1e3) as u64,
        wait_us: (what.exponential(c.wait_ms) * 1e3) as u64,
        hall: what.below(s.halls),
        patience_us: patience as u64 * 1000,
        retries: tries.retries,
        backoff_us: (what.within(tries.backoff_ms) * 1e3) as u64,
        honours: what.chance(tries.honour),
        leaves_us: leaves.filter(|_| usual),
        slow_writing: what.chance(s.clients.slow_writing) && usual,
        slow_reading: what.chance(s.clients.slow_reading) && usual,
        once: what.chance(s.clients.asking_once) && usual,
        crowd: tries.crowd,
    }
}

/// The clients of all crowds, drawn apart from the usual ones.
fn crowds(s: &Scenario) -> Vec<Ask> {
    let mut what = Dice::new(s.seed, "crowds");
    let (mut asks, mut number) = (Vec::new(), 0);
    for event in &s.events {
        let What::Crowd { clients, over_s, tries, wait_ms, honour } = event.what else { continue };
        for _ in 0..clients {
            let how =
                Tries { retries: tries.saturating_sub(1), backoff_ms: wait_ms, honour, crowd: Some(number) };
            let at = event.at_s + over_s * what.unit();
            asks.push(ask(s, &mut what, at, &how));
            number += 1;
        }
    }
    asks
}

fn rates(s: &Scenario) -> impl Iterator<Item = f64> + '_ {
    s.events.iter().map(|e| if let What::Burst { factor, .. } = e.what { factor } else { 1.0 })
}

/// The present multiple of the usual rate.
fn rate(s: &Scenario, at: f64) -> f64 {
    let on = s.events.iter().filter_map(|e| match e.what {
        What::Burst { factor, for_s } if at >= e.at_s && at < e.at_s + for_s => Some(factor),
        _ => None,
    });
    on.fold(1.0, f64::max)
}

fn steps(s: &Scenario) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    let nodes = s.nodes();
    // A drain must be known everywhere before the node leaves, or its leaving is a crash.
    let known_s = s.discovery.notice_s[1] + s.rules.drain_grace_ms / 1e3 + 0.5;
    for event in &s.events {
        let at = event.at_s;
        let mut add = |at_s: f64, step: Step| steps.push(((at_s * 1e6) as u64, step));
        match event.what.clone() {
            What::Crash { node, back_after_s } => {
                add(at, Step::NodeCrash(node));
                if let Some(after) = back_after_s {
                    add(at + after, Step::NodeStart(node));
                }
            }
            What::Drain { node, over_s, back_after_s } => {
                add(at, Step::NodeDrain(node));
                add(at + over_s, Step::NodeStop(node));
                if let Some(after) = back_after_s {
                    add(at + over_s + after, Step::NodeStart(node));
                }
            }
            What::Deploy { nodes, group, every_s } => {
                for node in 0..nodes {
                    let at = at + (node / group) as f64 * every_s;
                    add(at, Step::NodeDrain(node));
                    add(at + known_s, Step::NodeStop(node));
                    add(at + known_s + 0.2, Step::NodeStart(node));
                }
            }
            What::Shrink { nodes: leaving, over_s } => {
                for i in 0..leaving {
                    let (node, at) = (nodes - 1 - i, at + over_s * i as f64 / leaving as f64);
                    add(at, Step::NodeDrain(node));
                    add(at + known_s, Step::NodeStop(node));
                }
            }
            What::HallOut { hall, for_s } => {
                for node in (0..nodes).filter(|n| n % s.halls == hall) {
                    add(at, Step::NodeVanish(node));
                    add(at + for_s, Step::NodeStart(node));
                }
            }
            What::Slow { node, factor, for_s } => {
                add(at, Step::NodeSlow(node, factor));
                add(at + for_s, Step::NodeSlow(node, 1.0));
            }
            What::Hang { node, for_s } => {
                add(at, Step::NodeHang(node, true));
                add(at + for_s, Step::NodeHang(node, false));
            }
            What::Spoil { node, part, for_s } => {
                add(at, Step::NodeSpoil(node, part));
                add(at + for_s, Step::NodeSpoil(node, 0.0));
            }
            What::Resets { node, part, for_s } => {
                add(at, Step::NodeResets(node, part));
                add(at + for_s, Step::NodeResets(node, 0.0));
            }
            What::Cut { proxy, node, for_s } => {
                add(at, Step::LinkCut(proxy, node, true));
                add(at + for_s, Step::LinkCut(proxy, node, false));
            }
            What::Delay { proxy, node, by_ms, for_s } => {
                add(at, Step::LinkDelay(proxy, node, (by_ms * 1e3) as u64));
                add(at + for_s, Step::LinkDelay(proxy, node, 0));
            }
            What::DiscoveryDown { for_s } => {
                add(at, Step::DiscoveryDown(true));
                add(at + for_s, Step::DiscoveryDown(false));
            }
            What::DiscoveryMove {} => add(at, Step::DiscoveryMove),
            What::KillProxy { proxy, back_after_s } => {
                add(at, Step::ProxyKill(proxy));
                add(at + back_after_s, Step::ProxyStart(proxy));
            }
            What::StopProxy { proxy, for_s } => {
                add(at, Step::ProxyStop(proxy, true));
                add(at + for_s, Step::ProxyStop(proxy, false));
            }
            What::RestartProxy { proxy } => add(at, Step::ProxyRestart(proxy)),
            What::LoseProxy { proxy } => add(at, Step::ProxyKill(proxy)),
            What::LeaveProxy { proxy } => add(at, Step::ProxyLeave(proxy)),
            What::JoinProxy { proxy } => add(at, Step::ProxyStart(proxy)),
            What::RollProxies { group, every_s } => {
                for proxy in 0..s.proxies {
                    add(at + (proxy / group) as f64 * every_s, Step::ProxyRestart(proxy));
                }
            }
            What::Network { links, halls, for_s } => {
                let parts = links.parts.clone();
                add(at, Step::Network(links));
                add(at + for_s, Step::Network(Links::default()));
                let cut =
                    |proxy: usize, node: usize| halls.get(node % s.halls).is_some_and(|h| *h != parts[proxy]);
                let pairs = (0..s.proxies).flat_map(|p| (0..nodes).map(move |n| (p, n)));
                for (proxy, node) in pairs.filter(|(p, n)| cut(*p, *n)) {
                    add(at, Step::LinkCut(proxy, node, true));
                    add(at + for_s, Step::LinkCut(proxy, node, false));
                }
            }
            What::RegionDelay { by_ms, for_s } => {
                add(at, Step::RegionDelay((by_ms * 1e3) as u64));
                add(at + for_s, Step::RegionDelay(0));
            }
            What::RegionCut { for_s } => {
                add(at, Step::RegionCut(true));
                add(at + for_s, Step::RegionCut(false));
            }
            What::NewKeys { times, every_s } => {
                (0..times).for_each(|n| add(at + f64::from(n) * every_s, Step::NewKeys));
            }
            What::Burst { .. } | What::Crowd { .. } => {}
        }
    }
    steps.sort_by_key(|s| s.0);
    steps
}

/// Whether a client may ask again on its own after this status (0: it could not reach a proxy or its connection
/// broke).
pub fn may_retry(effect: Effect, status: u16, reached: bool) -> bool {
    match effect {
        Effect::Safe => status != 200,
        Effect::Keyed | Effect::Unsafe => !reached || matches!(status, 429 | 503),
    }
}

#[cfg(test)]
mod tests;
