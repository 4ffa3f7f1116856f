//! Allocation by demand compared with even allocation, with real processes: proxies killed without restart, traffic
//! that differs by up to 1 to 5, a tier that grows and shrinks under load; and in virtual time with 300 and 1,000
//! proxies. The sub-command is `shares`, after the section of the operator's configuration file.

mod scenarios;
mod service;

use crate::runs::{interval, play, play_all, round};
use crate::subsets;
use gaugesaddle_balancer::LimitBounds;
use gaugesaddle_proxy_simulation::{simulate, Policy};
use gaugesaddle_testbed::{Disturbance, Outcome, Scenario};
use scenarios::{cases, fault_combination, region, REGIONS};
use serde_json::{json, Value};
use service::{print_lost_seconds, Service};
use std::collections::{BTreeMap, HashMap};
use std::io;

/// Minimum service of allocation by demand with 32 of 48 proxies killed.
const MIN_SERVICE_KILLED: f64 = 0.99;
/// Maximum loss of service with uneven traffic, compared with even traffic.
const MAX_UNEVEN_COST: f64 = 0.01;
/// Maximum loss of service in any window while the tier grows and shrinks.
const MAX_DIP: f64 = 0.02;
/// Minimum fairness over proxies, by Jain's index.
const MIN_JAIN: f64 = 0.98;
/// Maximum difference in service between the mean and the worst proxy.
const MAX_BEHIND: f64 = 0.05;
/// Maximum load of a backend, relative to the mean.
const MAX_LOAD: f64 = 1.15;
/// Maximum number of links that move when one proxy or backend is removed, relative to the minimum possible.
const MAX_MOVED: f64 = 2.0;
/// Minimum fraction of its service that a lost region retains with two of its three proxies killed.
const MIN_REGION_SERVICE: f64 = 0.95;

/// The extent of the measurement.
pub struct Extent {
    /// Seeds of each case.
    pub seeds: u64,
    /// Number of random combinations of faults.
    pub scenarios: u64,
    /// Combinations that run concurrently.
    pub lanes: usize,
    /// Cases that run concurrently. Three concurrent cases of 48 proxies on twelve cores yield G 0.9979, 0.9973 and
    /// 0.9976, a single one 0.9976; the worst proxy's service, if it has few requests, is 0.92 to 0.995 either way.
    pub concurrent_cases: usize,
    /// If set, runs only the cases whose names contain this, without a verdict.
    pub only: Option<String>,
}

/// Mean and half the width of its confidence interval; with one seed there is no interval.
fn with_interval(all: &[f64]) -> Value {
    let (mean, half_width) = interval(all);
    json!({"mean": round(mean), "half": half_width.is_finite().then(|| round(half_width)), "n": all.len()})
}

fn mean(all: &[f64]) -> f64 {
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

/// Simulates a large tier in virtual time, two of three proxies killed at 3 s of 8, with traffic that differs by up to
/// 1 to 5. Returns the service of even allocation and of allocation by demand.
fn simulate_many(proxies: usize, nodes: usize) -> io::Result<[f64; 2]> {
    let mut s = Scenario { seconds: 8.0, proxies, ..Scenario::default() };
    (s.kinds[0].count, s.kinds[1].count) = (nodes / 3, nodes - nodes / 3);
    s.clients.per_s = 45.0 * nodes as f64;
    let lost = (0..proxies).filter(|p| p % 3 != 0);
    let s = lost.fold(s, |s, proxy| s.event(3.0, Disturbance::LoseProxy { proxy }));
    let traffic: Vec<f64> = (0..proxies).map(|p| 1.0 + (p % 5) as f64).collect();
    let fixed_limits = Policy::Balancer(LimitBounds { learned: false, ..LimitBounds::default() });
    let service = |by_demand: bool| -> io::Result<f64> {
        let s = Scenario { peers: by_demand, demand_allocation: by_demand, ..s.clone() };
        simulate(&s, fixed_limits, &traffic).map(|report| report.g).map_err(io::Error::other)
    };
    Ok([service(false)?, service(true)?])
}

/// Runs the cases whose names contain a text.
fn measure_only(seeds: u64, only: &str) -> io::Result<Value> {
    let mut service: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for seed in 1..=seeds {
        let regions = REGIONS.map(|(name, by_demand, killed)| (name, region(seed, by_demand, killed)));
        for (name, s) in cases(seed).into_iter().chain(regions).filter(|case| case.0.contains(only)) {
            let outcome = play(&s)?;
            Service::of(&s, &outcome).print(seed, name);
            print_lost_seconds(&s, &outcome);
            print!("{}", outcome.verdict);
            let own = outcome.verdict.regions.first().map_or(outcome.verdict.g, |region| region.g);
            service.entry(name).or_default().push(own);
        }
    }
    let figures: BTreeMap<&str, Value> =
        service.iter().map(|(name, all)| (*name, with_interval(all))).collect();
    Ok(json!({"runs": figures, "held": Value::Null}))
}

/// The figures of all runs so far.
#[derive(Default)]
struct Results {
    /// Service of each run, by case.
    runs: HashMap<&'static str, Vec<Service>>,
    /// The service of the lost region, by allocation (by demand or not) and by whether two of its three proxies were
    /// killed.
    regions: HashMap<(bool, bool), Vec<f64>>,
    /// Maximum number of requests forwarded out of a region within a second.
    max_spilled_per_s: usize,
    /// Whether any run violated a rule.
    has_findings: bool,
}

impl Results {
    fn check(&mut self, outcome: &Outcome) {
        if !outcome.is_clean() {
            self.has_findings = true;
            print!("{}", outcome.verdict);
            outcome.tier.iter().for_each(|tier| print!("{tier}"));
        }
    }

    fn run_cases(&mut self, seed: u64, lanes: usize) -> io::Result<()> {
        let (names, runs): (Vec<&str>, Vec<Scenario>) = cases(seed).into_iter().unzip();
        let outcomes = play_all(&runs, lanes)?;
        for ((name, s), outcome) in names.into_iter().zip(&runs).zip(&outcomes) {
            let service = Service::of(s, outcome);
            service.print(seed, name);
            self.check(outcome);
            self.runs.entry(name).or_default().push(service);
        }
        Ok(())
    }

    fn run_regions(&mut self, seed: u64, lanes: usize) -> io::Result<()> {
        let runs = REGIONS.map(|(_, by_demand, killed)| region(seed, by_demand, killed));
        for ((name, by_demand, killed), outcome) in REGIONS.into_iter().zip(&play_all(&runs, lanes)?) {
            let lost = &outcome.verdict.regions[0];
            let (g, spilled) = (lost.g, lost.max_spilled_per_s);
            println!("seed {seed}, {name}: G {g:.4}, at most {spilled} forwarded in a second");
            self.check(outcome);
            self.max_spilled_per_s = self.max_spilled_per_s.max(spilled);
            self.regions.entry((by_demand, killed)).or_default().push(g);
        }
        Ok(())
    }

    /// One figure of each run of a case.
    fn figures(&self, name: &str, pick: fn(&Service) -> f64) -> Vec<f64> {
        self.runs.get(name).map(|runs| runs.iter().map(pick).collect()).unwrap_or_default()
    }

    fn mean_service(&self, name: &str) -> f64 {
        mean(&self.figures(name, |service| service.g))
    }

    fn region_service(&self, by_demand: bool, killed: bool) -> f64 {
        mean(self.regions.get(&(by_demand, killed)).map_or(&[][..], Vec::as_slice))
    }

    /// Fraction of its service that a lost region retains with two of its three proxies killed.
    fn region_service_ratio(&self, by_demand: bool) -> f64 {
        self.region_service(by_demand, true) / self.region_service(by_demand, false).max(1e-9)
    }

    fn runs_json(&self) -> serde_json::Map<String, Value> {
        let figures = |name: &&'static str| {
            let g = with_interval(&self.figures(name, |service| service.g));
            let worst_window = round(mean(&self.figures(name, |service| service.worst_window)));
            let worst_proxy = round(mean(&self.figures(name, |service| service.worst_proxy)));
            let jain = round(mean(&self.figures(name, |service| service.jain)));
            let figures =
                json!({"g": g, "worst_5_s": worst_window, "worst_proxy": worst_proxy, "jain": jain});
            ((*name).to_string(), figures)
        };
        self.runs.keys().map(figures).collect()
    }

    fn regions_json(&self) -> Value {
        let pair = |by_demand| [false, true].map(|killed| round(self.region_service(by_demand, killed)));
        json!({"kept_by_need": round(self.region_service_ratio(true)), "kept_by_even": round(self.region_service_ratio(false)),
            "most_left_per_s": self.max_spilled_per_s, "by_need": pair(true), "by_even": pair(false)})
    }
}

/// Measures in virtual time; returns the figures and whether allocation by demand is at least as good as even
/// allocation.
fn measure_virtual_time() -> io::Result<(Value, bool)> {
    let mut figures = serde_json::Map::new();
    let mut is_better = true;
    for (proxies, nodes) in [(300, 200), (1000, 400)] {
        let [even, demand] = simulate_many(proxies, nodes)?;
        println!("{proxies} in virtual time, {nodes} nodes, two of three killed: {even:.4} by even allocation, {demand:.4} by demand");
        is_better &= demand >= even;
        figures
            .insert(format!("{proxies} over {nodes}"), json!({"even": round(even), "need": round(demand)}));
    }
    Ok((Value::Object(figures), is_better))
}

/// Runs random combinations of faults.
fn measure_combinations(extent: &Extent, results: &mut Results) -> io::Result<Value> {
    let combinations: Vec<Scenario> = (0..extent.scenarios).map(fault_combination).collect();
    let (mut not_clean, mut faults, mut proxies) = (0, 0, 0);
    for (s, outcome) in combinations.iter().zip(&play_all(&combinations, extent.lanes)?) {
        faults += s.events.len();
        proxies += s.proxies;
        if !outcome.is_clean() {
            not_clean += 1;
            println!("{}, seed {}: {} proxies", s.name, s.seed, s.proxies);
        }
        results.check(outcome);
    }
    let scenarios = extent.scenarios;
    println!("{scenarios} scenarios with {proxies} proxies and {faults} faults: {not_clean} not clean");
    Ok(json!({"played": scenarios, "proxies": proxies, "faults": faults, "not_clean": not_clean}))
}

/// Runs the measurement.
///
/// # Errors
/// A scenario could not be run.
pub fn measure(extent: &Extent) -> io::Result<Value> {
    if let Some(only) = &extent.only {
        return measure_only(extent.seeds, only);
    }
    let (subsets, subsets_within_bounds) = subsets::measure(MAX_LOAD, MAX_MOVED);
    let (virtual_time, is_better) = measure_virtual_time()?;
    let mut results = Results::default();
    for seed in 1..=extent.seeds {
        results.run_cases(seed, extent.concurrent_cases)?;
    }
    for seed in 1..=extent.seeds {
        results.run_regions(seed, extent.concurrent_cases)?;
    }
    let scenarios = measure_combinations(extent, &mut results)?;
    let (uneven, even) = ("uneven traffic, by need", "even traffic, by need");
    let uneven_cost = results.mean_service(even) - results.mean_service(uneven);
    let worst_proxy_behind =
        results.mean_service(uneven) - mean(&results.figures(uneven, |service| service.worst_proxy));
    let dip = 1.0 - mean(&results.figures("growing, by need", |service| service.worst_window));
    let jain = mean(&results.figures(uneven, |service| service.jain));
    let checks = [
        ("killed", results.mean_service("killed, by need") >= MIN_SERVICE_KILLED),
        ("uneven", uneven_cost <= MAX_UNEVEN_COST),
        ("worst proxy", worst_proxy_behind <= MAX_BEHIND),
        ("growth", dip <= MAX_DIP),
        ("fair", jain >= MIN_JAIN),
        ("subset", subsets_within_bounds),
        ("many", is_better),
        ("region", results.region_service_ratio(true) >= MIN_REGION_SERVICE),
        ("rules", !results.has_findings),
    ];
    let verdicts: serde_json::Map<String, Value> = checks
        .iter()
        .map(|(name, is_within_bounds)| ((*name).to_string(), json!(is_within_bounds)))
        .collect();
    Ok(json!({
        "runs": results.runs_json(), "beside": extent.concurrent_cases, "uneven_costs": round(uneven_cost),
        "worst_proxy_behind": round(worst_proxy_behind), "dip": round(dip), "jain": round(jain), "subsets": subsets,
        "virtual_time": virtual_time, "scenarios": scenarios, "region": results.regions_json(),
        "parts_held": verdicts, "held": checks.iter().all(|check| check.1),
    }))
}
