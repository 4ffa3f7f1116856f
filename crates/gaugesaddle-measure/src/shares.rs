//! Parts by need beside today's even parts of the told number, as processes: proxies killed and not back, traffic as uneven
//! as 1 to 5, a tier that grows and shrinks under load; and what is dealt out at 300 and 1,000 by the laws alone.

use crate::runs::{interval, play, play_all, round};
use crate::subsets;
use gaugesaddle_balancer::LimitBounds;
use gaugesaddle_proxy_simulation::{simulate, Policy};
use gaugesaddle_testbed::dice::mix;
use gaugesaddle_testbed::hunt;
use gaugesaddle_testbed::scenario::{Clients, Kind, Regions};
use gaugesaddle_testbed::{Event, Outcome, Scenario, What};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;

/// Worth in time with 32 of 48 killed, by need.
const KILLED: f64 = 0.99;
/// Uneven traffic may cost so much beside even traffic, and growth in any window.
const UNEVEN: f64 = 0.01;
const DIP: f64 = 0.02;
/// Of the shares in time over proxies.
const JAIN: f64 = 0.98;
const WORST: f64 = 0.05;
/// Load of a backend beside the mean.
const LOAD: f64 = 1.15;
/// Links that move when one proxy or backend goes, beside the least possible.
const MOVED: f64 = 2.0;
/// With two of three proxies of a lost region killed so much of its figure is left.
const REGION: f64 = 0.95;
const WINDOW_US: u64 = 5_000_000;

/// How much is measured.
pub struct Extent {
    /// Seeds of each case.
    pub seeds: u64,
    /// Combinations of faults.
    pub scenarios: u64,
    /// Of these so many side by side.
    pub lanes: usize,
    /// Of the cases so many side by side. Three of 48 proxies on twelve cores read G 0.9979, 0.9973 and 0.9976 where one
    /// alone reads 0.9976; the worst proxy, where that has few requests, reads 0.92 to 0.995 either way.
    pub beside: usize,
    /// The cases whose names hold this, by themselves and without a verdict.
    pub only: Option<String>,
}

/// Worth asked and worth in time, by first try: when, at which proxy it was first written.
fn served(s: &Scenario, outcome: &Outcome) -> Vec<(u64, usize, f64, bool)> {
    let mut firsts: HashMap<u64, (u64, usize, usize)> = HashMap::new();
    let mut tries: HashMap<u64, u64> = HashMap::new();
    let mut good: HashMap<u64, u64> = HashMap::new();
    for r in &outcome.records {
        match &r.event {
            Event::Asked { proxy, id, first, class, .. } => {
                firsts.entry(*first).or_insert((r.at, *proxy, *class));
                tries.insert(*id, *first);
            }
            Event::Answered { id, status: 200, .. } => {
                if let Some(first) = tries.get(id) {
                    good.entry(*first).or_insert(r.at);
                }
            }
            _ => {}
        }
    }
    let one = |(first, (at, proxy, class)): (u64, (u64, usize, usize))| {
        let aim = (s.classes[class].aim_ms * 1e3) as u64 + (s.rules.slack_ms * 1e3) as u64;
        let in_time = good.get(&first).is_some_and(|done| *done <= at + aim);
        (at, proxy, s.classes[class].worth, in_time)
    };
    firsts.into_iter().map(one).collect()
}

/// What a run came to over time and over proxies.
struct Spread {
    /// Of all worth the part that was in time.
    g: f64,
    /// The least part of the worth that was in time in any window.
    window: f64,
    /// The same of any proxy.
    proxy: f64,
    /// Jain's index over proxies.
    jain: f64,
    /// The windows that lost more than the bound on dips, by their first second.
    dips: Vec<(u64, f64)>,
}

fn spread(s: &Scenario, outcome: &Outcome) -> Spread {
    let (mut windows, mut proxies) = (BTreeMap::<u64, (f64, f64)>::new(), BTreeMap::<u64, (f64, f64)>::new());
    for (at, proxy, worth, in_time) in served(s, outcome) {
        let got = if in_time { worth } else { 0.0 };
        for sums in [windows.entry(at / WINDOW_US).or_default(), proxies.entry(proxy as u64).or_default()] {
            *sums = (sums.0 + worth, sums.1 + got);
        }
    }
    let (windows, proxies) = (parts(windows), parts(proxies));
    let least = |all: &[(u64, f64)]| all.iter().fold(1.0, |m: f64, x| m.min(x.1));
    let (sum, squares) = proxies.iter().fold((0.0, 0.0), |(s, q), (_, x)| (s + x, q + x * x));
    Spread {
        g: outcome.verdict.g,
        window: least(&windows),
        proxy: least(&proxies),
        jain: sum * sum / (proxies.len() as f64 * squares).max(1e-9),
        dips: windows
            .into_iter()
            .filter(|w| w.1 < 1.0 - DIP)
            .map(|(w, part)| (w * WINDOW_US / 1_000_000, part))
            .collect(),
    }
}

/// What was in time of what was asked, of each that was asked enough: a window or a proxy of a few requests is chance.
fn parts(sums: BTreeMap<u64, (f64, f64)>) -> Vec<(u64, f64)> {
    let most = sums.values().fold(0.0, |m: f64, s| m.max(s.0));
    sums.into_iter().filter(|s| s.1 .0 > most / 20.0).map(|(of, s)| (of, s.1 / s.0)).collect()
}

fn base(seed: u64, by_need: bool, per_s: f64) -> Scenario {
    let clients = Clients { per_s, leaving: 0.0, ..Clients::default() };
    Scenario {
        seed,
        proxies: 48,
        peers: by_need,
        shares: by_need,
        seconds: 20.0,
        clients,
        ..Scenario::default()
    }
}

fn killed(seed: u64, by_need: bool) -> Scenario {
    let lost = (0..48).filter(|p| p % 3 != 0);
    lost.fold(base(seed, by_need, 400.0), |s, proxy| s.event(2.0, What::LoseProxy { proxy }))
}

fn uneven(seed: u64, by_need: bool, parts: &[f64]) -> Scenario {
    let mut s = base(seed, by_need, 480.0);
    s.clients.uneven = parts.to_vec();
    s
}

/// Two regions of three proxies and six nodes each, some 70 requests a second each and as many that may cross; all halls
/// of the first fall silent for 10 s. `killed`: of its three proxies two are killed before.
fn region(seed: u64, by_need: bool, killed: bool) -> Scenario {
    let kinds = vec![
        Kind { name: "fast".into(), count: 4, speed: 1.8, ..Kind::default() },
        Kind { name: "slow".into(), count: 8, speed: 0.9, ..Kind::default() },
    ];
    let clients = Clients { per_s: 140.0, leaving: 0.0, ..Clients::default() };
    let regions = Regions { count: 2, per_s: 70, in_flight: 120, ..Regions::default() };
    let s = Scenario {
        seed,
        seconds: 26.0,
        proxies: 6,
        halls: 4,
        kinds,
        clients,
        regions,
        peers: by_need,
        shares: by_need,
        ..Scenario::default()
    };
    let halls = (0..4).filter(|h| h % 2 == 0);
    let s = halls.fold(s, |s, hall| s.event(12.0, What::HallOut { hall, for_s: 10.0 }));
    let lost = [2, 4].into_iter().filter(|_| killed);
    lost.fold(s, |s, proxy| s.event(8.0, What::LoseProxy { proxy }))
}

/// Worth in time of the first region's clients, and the most that left for the other within a second.
fn lost_region(outcome: &Outcome) -> (f64, usize) {
    let region = &outcome.verdict.regions[0];
    (region.g, region.most_left_per_s)
}

/// From 3 to 30 proxies over nine seconds, and back to 3.
fn growing(seed: u64, by_need: bool) -> Scenario {
    let s = Scenario { proxies: 30, seconds: 32.0, ..base(seed, by_need, 250.0) };
    let s = (3..30).fold(s, |s, proxy| s.event(5.0 + proxy as f64 / 3.0, What::JoinProxy { proxy }));
    (3..30).fold(s, |s, proxy| s.event(18.0 + proxy as f64 / 3.0, What::LeaveProxy { proxy }))
}

/// Mean and half of the width of its interval; of one seed there is none.
fn with_interval(all: &[f64]) -> Value {
    let (mean, by) = interval(all);
    json!({"mean": round(mean), "half": by.is_finite().then(|| round(by)), "n": all.len()})
}

fn mean(all: &[f64]) -> f64 {
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

/// Many proxies in virtual time, two of three killed at 3 s of 8; traffic as uneven as 1 to 5. Worth in time, by even
/// parts and by need.
fn many(proxies: usize, nodes: usize) -> io::Result<[f64; 2]> {
    let mut s = Scenario { seconds: 8.0, proxies, ..Scenario::default() };
    (s.kinds[0].count, s.kinds[1].count) = (nodes / 3, nodes - nodes / 3);
    s.clients.per_s = 45.0 * nodes as f64;
    let lost = (0..proxies).filter(|p| p % 3 != 0);
    let s = lost.fold(s, |s, proxy| s.event(3.0, What::LoseProxy { proxy }));
    let traffic: Vec<f64> = (0..proxies).map(|p| 1.0 + (p % 5) as f64).collect();
    let four = Policy::Module(LimitBounds { learned: false, ..LimitBounds::default() });
    let g = |by_need: bool| -> io::Result<f64> {
        let s = Scenario { peers: by_need, shares: by_need, ..s.clone() };
        simulate(&s, four, &traffic).map(|report| report.g).map_err(io::Error::other)
    };
    Ok([g(false)?, g(true)?])
}

/// A combination of faults for what may never be exceeded: every other one has two regions, of which one loses its halls;
/// in a third all nodes start cold.
fn hard(seed: u64) -> Scenario {
    let regions = seed % 2 == 1;
    let mut s = hunt::draw_on(mix(77, seed), |s| {
        s.shares = true;
        if regions {
            s.proxies -= s.proxies % 2;
            s.halls = 4;
            s.regions = Regions { count: 2, per_s: 30, in_flight: 60, ..Regions::default() };
        }
    });
    s.name = format!("hard-{seed}");
    if regions {
        let halls = [0, 2].map(|hall| What::HallOut { hall, for_s: 5.0 });
        s = halls.into_iter().fold(s, |s, what| s.event(4.0, what));
    }
    if seed % 3 == 0 {
        let nodes: usize = s.kinds.iter().map(|k| k.count).sum();
        s = (0..nodes).filter(|n| n % 2 == 0).fold(s, |s, node| {
            s.event(3.0 + (node % 3) as f64 / 10.0, What::Crash { node, back_after_s: Some(1.0) })
        });
    }
    s
}

/// A lost region: by need, and two of its three proxies killed.
const REGIONS: [(&str, bool, bool); 4] = [
    ("region lost, even parts, all alive", false, false),
    ("region lost, even parts, two of three killed", false, true),
    ("region lost, by need, all alive", true, false),
    ("region lost, by need, two of three killed", true, true),
];

/// The cases that are measured by what is in time.
fn cases(seed: u64) -> [(&'static str, Scenario); 7] {
    let evenly = [1.0, 1.0];
    let one_to_five = [1.0, 2.0, 3.0, 4.0, 5.0];
    [
        ("killed, even parts", killed(seed, false)),
        ("killed, by need", killed(seed, true)),
        ("even traffic, by need", uneven(seed, true, &evenly)),
        ("uneven traffic, even parts", uneven(seed, false, &one_to_five)),
        ("uneven traffic, by need", uneven(seed, true, &one_to_five)),
        ("growing, even parts", growing(seed, false)),
        ("growing, by need", growing(seed, true)),
    ]
}

/// Says what a run came to.
fn told(seed: u64, name: &str, s: &Scenario, outcome: &Outcome) -> Spread {
    let spread = spread(s, outcome);
    let Spread { g, window, proxy, jain, dips } = &spread;
    println!(
        "seed {seed}, {name}: G {g:.4}, worst 5 s {window:.3}, worst proxy {proxy:.3}, Jain {jain:.4}{}",
        dips.iter().map(|(at, part)| format!(", {part:.3} from {at} s")).collect::<String>()
    );
    spread
}

/// The seconds that lost something: how many first tries, how many of these not in time, at how many proxies.
fn seconds(s: &Scenario, outcome: &Outcome) {
    let mut by_second: BTreeMap<u64, (usize, usize, BTreeSet<usize>)> = BTreeMap::new();
    for (at, proxy, _, in_time) in served(s, outcome) {
        let second = by_second.entry(at / 1_000_000).or_default();
        second.0 += 1;
        if !in_time {
            second.1 += 1;
            second.2.insert(proxy);
        }
    }
    for (second, (asked, lost, proxies)) in by_second.into_iter().filter(|s| s.1 .1 > 0) {
        println!("  second {second}: {lost} of {asked} not in time, at {} proxies", proxies.len());
    }
}

/// Some cases by themselves.
fn some(seeds: u64, only: &str) -> io::Result<Value> {
    let mut g: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for seed in 1..=seeds {
        let regions = REGIONS.map(|(name, by_need, killed)| (name, region(seed, by_need, killed)));
        for (name, s) in cases(seed).into_iter().chain(regions).filter(|c| c.0.contains(only)) {
            let outcome = play(&s)?;
            told(seed, name, &s, &outcome);
            seconds(&s, &outcome);
            print!("{}", outcome.verdict);
            let of_region = outcome.verdict.regions.first().map_or(outcome.verdict.g, |r| r.g);
            g.entry(name).or_default().push(of_region);
        }
    }
    let figures: BTreeMap<&str, Value> = g.iter().map(|(name, all)| (*name, with_interval(all))).collect();
    Ok(json!({"runs": figures, "held": Value::Null}))
}

/// All of it: so many seeds of each case, and so many combinations of faults, of these so many side by side.
pub fn measure(extent: &Extent) -> io::Result<Value> {
    let Extent { seeds, scenarios, lanes, .. } = *extent;
    if let Some(only) = &extent.only {
        return some(seeds, only);
    }
    let (subsets, subset_held) = subsets::measure(LOAD, MOVED);
    let mut virtually = serde_json::Map::new();
    let mut better = true;
    for (proxies, nodes) in [(300, 200), (1000, 400)] {
        let [even, need] = many(proxies, nodes)?;
        println!("{proxies} in virtual time, {nodes} nodes, two of three killed: {even:.4} by even parts, {need:.4} by need");
        better &= need >= even;
        virtually
            .insert(format!("{proxies} over {nodes}"), json!({"even": round(even), "need": round(need)}));
    }
    let mut clean = true;
    let mut all: HashMap<&str, Vec<Spread>> = HashMap::new();
    let mut check = |outcome: &Outcome| {
        if !outcome.is_clean() {
            clean = false;
            print!("{}", outcome.verdict);
            outcome.tier.iter().for_each(|tier| print!("{tier}"));
        }
    };
    for seed in 1..=seeds {
        let (names, runs): (Vec<&str>, Vec<Scenario>) = cases(seed).into_iter().unzip();
        let outcomes = play_all(&runs, extent.beside)?;
        for ((name, s), outcome) in names.into_iter().zip(&runs).zip(&outcomes) {
            let spread = told(seed, name, s, outcome);
            check(outcome);
            all.entry(name).or_default().push(spread);
        }
    }
    let mut regions: HashMap<(bool, bool), Vec<f64>> = HashMap::new();
    let mut most_left = 0;
    for seed in 1..=seeds {
        let runs = REGIONS.map(|(_, by_need, killed)| region(seed, by_need, killed));
        for ((name, by_need, killed), outcome) in REGIONS.into_iter().zip(&play_all(&runs, extent.beside)?) {
            let (g, most) = lost_region(outcome);
            println!("seed {seed}, {name}: G {g:.4}, at most {most} left in a second");
            check(outcome);
            most_left = most_left.max(most);
            regions.entry((by_need, killed)).or_default().push(g);
        }
    }
    let drawn: Vec<Scenario> = (0..scenarios).map(hard).collect();
    let (mut bad, mut faults, mut proxies) = (0, 0, 0);
    for (s, outcome) in drawn.iter().zip(&play_all(&drawn, lanes)?) {
        faults += s.events.len();
        proxies += s.proxies;
        if !outcome.is_clean() {
            bad += 1;
            println!("{}, seed {}: {} proxies", s.name, s.seed, s.proxies);
        }
        check(outcome);
    }
    println!("{scenarios} scenarios with {proxies} proxies and {faults} faults: {bad} not clean");
    let region_g = |key: (bool, bool)| mean(regions.get(&key).map_or(&[][..], Vec::as_slice));
    let kept = |by_need: bool| region_g((by_need, true)) / region_g((by_need, false)).max(1e-9);
    let of = |name: &str, pick: fn(&Spread) -> f64| -> Vec<f64> {
        all.get(name).map(|runs| runs.iter().map(pick).collect()).unwrap_or_default()
    };
    let g = |name: &str| of(name, |r| r.g);
    let (need, even) = ("uneven traffic, by need", "even traffic, by need");
    let cost = mean(&g(even)) - mean(&g(need));
    let behind = mean(&g(need)) - mean(&of(need, |r| r.proxy));
    let dip = 1.0 - mean(&of("growing, by need", |r| r.window));
    let jain = mean(&of(need, |r| r.jain));
    let held = [
        ("killed", mean(&g("killed, by need")) >= KILLED),
        ("uneven", cost <= UNEVEN),
        ("worst proxy", behind <= WORST),
        ("growth", dip <= DIP),
        ("fair", jain >= JAIN),
        ("subset", subset_held),
        ("many", better),
        ("region", kept(true) >= REGION),
        ("rules", clean),
    ];
    let figures: serde_json::Map<String, Value> = all
        .keys()
        .map(|name| {
            (
                name.to_string(),
                json!({"g": with_interval(&g(name)), "worst_5_s": round(mean(&of(name, |r| r.window))),
            "worst_proxy": round(mean(&of(name, |r| r.proxy))), "jain": round(mean(&of(name, |r| r.jain)))}),
            )
        })
        .collect();
    let parts_held: serde_json::Map<String, Value> =
        held.iter().map(|(n, h)| (n.to_string(), json!(h))).collect();
    Ok(
        json!({"runs": figures, "beside": extent.beside, "uneven_costs": round(cost), "worst_proxy_behind": round(behind), "dip": round(dip),
        "jain": round(jain), "subsets": subsets, "virtual_time": virtually,
        "scenarios": {"played": scenarios, "proxies": proxies, "faults": faults, "not_clean": bad},
        "region": {"kept_by_need": round(kept(true)), "kept_by_even": round(kept(false)), "most_left_per_s": most_left,
            "by_need": [round(region_g((true, false))), round(region_g((true, true)))],
            "by_even": [round(region_g((false, false))), round(region_g((false, true)))]}, "parts_held": parts_held, "held": held.iter().all(|h| h.1)}),
    )
}
