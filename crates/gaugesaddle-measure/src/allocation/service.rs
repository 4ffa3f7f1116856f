//! Service of a run: the weight of requests served in time, by window and by proxy.

use super::MAX_DIP;
use gaugesaddle_testbed::{Event, Outcome, Scenario};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Length of the windows; the worst one is reported.
const WINDOW_US: u64 = 5_000_000;
/// Windows and proxies with less than this fraction of the largest demand are excluded, because they have too few
/// requests.
const MIN_DEMAND: f64 = 1.0 / 20.0;

/// One request: the time and the proxy of its first attempt, its weight, and whether it was served in time.
struct ServedRequest {
    at: u64,
    proxy: usize,
    weight: f64,
    in_time: bool,
}

fn served_requests(s: &Scenario, outcome: &Outcome) -> Vec<ServedRequest> {
    let mut firsts: HashMap<u64, (u64, usize, usize)> = HashMap::new();
    let mut first_of: HashMap<u64, u64> = HashMap::new();
    let mut served_at: HashMap<u64, u64> = HashMap::new();
    for record in &outcome.records {
        match &record.event {
            Event::RequestSent { proxy, id, first, class, .. } => {
                firsts.entry(*first).or_insert((record.at, *proxy, *class));
                first_of.insert(*id, *first);
            }
            Event::Answered { id, status: 200, .. } => {
                if let Some(first) = first_of.get(id) {
                    served_at.entry(*first).or_insert(record.at);
                }
            }
            _ => {}
        }
    }
    let request = |(first, (at, proxy, class)): (u64, (u64, usize, usize))| {
        let class = &s.classes[class];
        let objective_us = (class.objective_ms * 1e3) as u64 + (s.rules.slack_ms * 1e3) as u64;
        let in_time = served_at.get(&first).is_some_and(|done| *done <= at + objective_us);
        ServedRequest { at, proxy, weight: class.priority_weight, in_time }
    };
    firsts.into_iter().map(request).collect()
}

/// The service of a run, over time and over proxies.
pub struct Service {
    /// Fraction of the total weight that was served in time.
    pub g: f64,
    /// The lowest fraction of any window.
    pub worst_window: f64,
    /// The lowest fraction of any proxy.
    pub worst_proxy: f64,
    /// Jain's fairness index over the proxies' fractions.
    pub jain: f64,
    /// Windows that lost more than [`MAX_DIP`]: the first second and the fraction served in time.
    pub dips: Vec<(u64, f64)>,
}

impl Service {
    /// Measures a run.
    pub fn of(s: &Scenario, outcome: &Outcome) -> Service {
        let (mut windows, mut proxies) = (BTreeMap::<u64, Weights>::new(), BTreeMap::<u64, Weights>::new());
        for request in served_requests(s, outcome) {
            windows.entry(request.at / WINDOW_US).or_default().add(&request);
            proxies.entry(request.proxy as u64).or_default().add(&request);
        }
        let (windows, proxies) = (fractions(windows), fractions(proxies));
        let lowest = |all: &[(u64, f64)]| all.iter().fold(1.0, |lowest: f64, x| lowest.min(x.1));
        let (sum, squares) =
            proxies.iter().fold((0.0, 0.0), |(sum, squares), (_, x)| (sum + x, squares + x * x));
        Service {
            g: outcome.verdict.g,
            worst_window: lowest(&windows),
            worst_proxy: lowest(&proxies),
            jain: sum * sum / (proxies.len() as f64 * squares).max(1e-9),
            dips: windows
                .into_iter()
                .filter(|window| window.1 < 1.0 - MAX_DIP)
                .map(|(window, fraction)| (window * WINDOW_US / 1_000_000, fraction))
                .collect(),
        }
    }

    /// Prints the figures of a run.
    pub fn print(&self, seed: u64, name: &str) {
        let Service { g, worst_window, worst_proxy, jain, dips } = self;
        println!(
            "seed {seed}, {name}: G {g:.4}, worst 5 s {worst_window:.3}, worst proxy {worst_proxy:.3}, Jain {jain:.4}{}",
            dips.iter().map(|(at, fraction)| format!(", {fraction:.3} from {at} s")).collect::<String>()
        );
    }
}

/// Weight requested and weight served in time.
#[derive(Default)]
struct Weights {
    requested: f64,
    in_time: f64,
}

impl Weights {
    fn add(&mut self, request: &ServedRequest) {
        self.requested += request.weight;
        self.in_time += if request.in_time { request.weight } else { 0.0 };
    }
}

/// The fraction served in time, for each window or proxy with enough demand.
fn fractions(all: BTreeMap<u64, Weights>) -> Vec<(u64, f64)> {
    let highest = all.values().fold(0.0, |highest: f64, weights| highest.max(weights.requested));
    all.into_iter()
        .filter(|(_, weights)| weights.requested > highest * MIN_DEMAND)
        .map(|(key, weights)| (key, weights.in_time / weights.requested))
        .collect()
}

/// Prints the seconds with requests not served in time: their number, the total, and the number of proxies affected.
pub fn print_lost_seconds(s: &Scenario, outcome: &Outcome) {
    #[derive(Default)]
    struct Second {
        requests: usize,
        lost: usize,
        proxies: BTreeSet<usize>,
    }
    let mut by_second: BTreeMap<u64, Second> = BTreeMap::new();
    for request in served_requests(s, outcome) {
        let second = by_second.entry(request.at / 1_000_000).or_default();
        second.requests += 1;
        if !request.in_time {
            second.lost += 1;
            second.proxies.insert(request.proxy);
        }
    }
    for (number, Second { requests, lost, proxies }) in by_second.into_iter().filter(|s| s.1.lost > 0) {
        println!("  second {number}: {lost} of {requests} not in time, at {} proxies", proxies.len());
    }
}
