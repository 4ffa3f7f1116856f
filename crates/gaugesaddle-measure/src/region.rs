//! Another region as last resort: worth in time with all halls of a region lost, with and without the other; what the
//! region that helps loses; how long it takes to leave and to return; the hard cases with their rules; keys replaced
//! under load; the price of a hop.

use crate::proc::children_cpu_seconds;
use crate::runs::{cast, interval, play, play_all, play_with, round};
use gaugesaddle_federation::Via;
use gaugesaddle_testbed::scenario::{Clients, Kind, Regions};
use gaugesaddle_testbed::{Broken, Scenario, What};
use serde_json::{json, Value};
use std::io;

/// The region that helps may lose so much of its own clients' worth.
const HELPER_BOUND: f64 = 0.01;
/// With the other region at least so much more of the worth is in time while the halls are lost, than without.
const GAIN_BOUND: f64 = 0.1;
/// Halls are lost from then on, for so long.
const LOST_AT: f64 = 4.0;
const LOST_FOR: f64 = 10.0;
const SECONDS: f64 = 30.0;
/// Bytes that the header's reader is tried on.
const FUZZ: u64 = 100_000;

/// Two regions of two halls, two proxies and six nodes each, at a third of what they can do.
fn base(seed: u64, count: usize) -> Scenario {
    let kinds = vec![
        Kind { name: "fast".into(), count: 2 * count, speed: 1.8, ..Kind::default() },
        Kind { name: "slow".into(), count: 4 * count, speed: 0.9, ..Kind::default() },
    ];
    let clients = Clients { per_s: 70.0 * count as f64, ..Clients::default() };
    let regions = Regions { count, per_s: 120, in_flight: 120, ..Regions::default() };
    let halls = 2 * count;
    Scenario { seconds: SECONDS, proxies: 2 * count, halls, kinds, clients, regions, ..Scenario::default() }
        .seed(seed)
}

/// All halls of the first region fall silent together.
fn lost(s: Scenario, at: f64, for_s: f64) -> Scenario {
    let halls: Vec<usize> = (0..s.halls).filter(|h| s.region(*h) == 0).collect();
    halls.into_iter().fold(s, |s, hall| s.event(at, What::HallOut { hall, for_s }))
}

/// The hard cases, each with other figures at each seed.
fn hard(case: u64, seed: u64) -> (&'static str, Scenario) {
    let s = base(1000 + seed, 2);
    let short = |s: Scenario| Scenario { seconds: 12.0, ..s };
    match case {
        0 => ("both lost at once", {
            let s = short(lost(s, 2.0, 5.0));
            let halls: Vec<usize> = (0..s.halls).filter(|h| s.region(*h) == 1).collect();
            halls.into_iter().fold(s, |s, hall| s.event(2.5, What::HallOut { hall, for_s: 5.0 }))
        }),
        1 => ("three in a ring, two lost", {
            let mut s = short(lost(base(1000 + seed, 3), 2.0, 6.0));
            s.regions.hops = 2;
            let halls: Vec<usize> = (0..s.halls).filter(|h| s.region(*h) == 1).collect();
            halls.into_iter().fold(s, |s, hall| s.event(3.0, What::HallOut { hall, for_s: 4.0 }))
        }),
        2 => ("a way that takes most of a vote's time", {
            let mut s = short(lost(s, 2.0, 6.0));
            s.regions.way_ms = 90.0;
            s
        }),
        3 => ("gateways killed with requests on them", {
            let s = short(lost(s, 2.0, 7.0)).event(4.0, What::KillProxy { proxy: 1, back_after_s: 1.0 });
            s.event(6.0, What::KillProxy { proxy: 3, back_after_s: 1.0 })
        }),
        4 => {
            ("the link alive and silent", short(lost(s, 2.0, 7.0)).event(4.0, What::RegionCut { for_s: 2.0 }))
        }
        5 => ("the way grows tenfold within a second", {
            short(lost(s, 2.0, 7.0)).event(4.0, What::RegionDelay { by_ms: 90.0, for_s: 2.5 })
        }),
        6 => ("a budget far too small", {
            let mut s = short(lost(s, 2.0, 6.0));
            (s.regions.per_s, s.regions.in_flight) = (7 + (seed % 5) as u32, 4);
            s
        }),
        7 => ("a fleet that flickers", (0..4).fold(short(s), |s, n| lost(s, 1.5 + f64::from(n) * 2.5, 0.9))),
        8 => ("back at once and cold, thrice the requests", {
            short(lost(s, 2.0, 4.0)).event(5.5, What::Burst { factor: 2.0, for_s: 3.0 })
        }),
        _ => ("keys replaced, twice within a second among them", {
            let s = short(lost(s, 2.0, 7.0)).event(3.0, What::NewKeys { times: 8, every_s: 0.6 });
            s.event(4.3, What::NewKeys { times: 1, every_s: 1.0 })
        }),
    }
}

const CASES: u64 = 10;

/// Random text and near-paths at the header's reader: no panic, and what is read reads back.
fn fuzz() -> u64 {
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    let mut draw = |below: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state % below.max(1)
    };
    let parts =
        ["north", "south", ", ", ";left=", "0", "1", "9", "-", " ", "\t", "é", "a", ",", ";", "=", "\u{0}"];
    let mut bad = 0;
    for _ in 0..FUZZ {
        let text: String = (0..draw(12)).map(|_| parts[draw(parts.len() as u64) as usize]).collect();
        if let Ok(path) = Via::parse(&text, "north") {
            bad += u64::from(Via::parse(&path.header_value(), "north") != Ok(path));
        }
    }
    bad
}

/// CPU of all proxies for a request, in microseconds, where so many of them leave.
fn price(seed: u64, leave: bool) -> io::Result<f64> {
    let mut s = base(seed, 2);
    (s.seconds, s.clients.leaving) = (8.0, 0.0);
    let s = if leave { lost(s, 0.2, 7.8) } else { s };
    let cast = cast()?;
    let before = children_cpu_seconds()?;
    let outcome = play_with(&cast, &s)?;
    let used = children_cpu_seconds()? - before;
    let asked: u64 = outcome.verdict.classes.iter().map(|c| c.tries).sum();
    Ok(used * 1e6 / asked.max(1) as f64)
}

/// The measurement. `seeds` of the loss with and without; `scenarios` of the hard cases.
pub fn measure(seeds: u64, scenarios: u64, keys: u32, lanes: usize) -> io::Result<Value> {
    let mut held = true;
    let (mut with, mut without, mut helper, mut votes) = (vec![], vec![], vec![], [vec![], vec![]]);
    let (mut reads, mut spill_s, mut return_s) = ([vec![], vec![]], vec![], vec![]);
    println!("all halls of a region lost for {LOST_FOR} s, {seeds} seeds, with and without the other region");
    let losses = (1..=seeds).flat_map(|seed| [(seed, false), (seed, true)]).map(|(seed, joined)| {
        let mut s = lost(base(seed, 2), LOST_AT, LOST_FOR);
        s.regions.joined = joined;
        s
    });
    let mut losses = play_all(&losses.collect::<Vec<_>>(), lanes)?.into_iter();
    for seed in 1..=seeds {
        let mut own = [0.0; 2];
        for joined in [false, true] {
            let Some(outcome) = losses.next() else { continue };
            let v = &outcome.verdict;
            held &= v.is_clean();
            if !v.is_clean() {
                print!("{v}");
            }
            let r = &v.regions[0];
            own[usize::from(joined)] = v.regions[1].g;
            println!(
                "  seed {seed}, {}: north {:.3} (reads {:.3}, votes {:.3}), south {:.3}, {} left, {} at most in a second",
                if joined { "with" } else { "without" },
                r.g,
                r.in_time[0],
                r.in_time[1],
                v.regions[1].g,
                r.left,
                r.most_left_per_s
            );
            if joined {
                with.push(r.g);
                let start = outcome
                    .records
                    .iter()
                    .find(|r| matches!(r.event, gaugesaddle_testbed::Event::Asked { .. }));
                let start = start.map_or(0, |r| r.at);
                if let Some((first, last)) = v.regions[1].lent {
                    let since = |at: u64, from: f64| at.saturating_sub(start) as f64 / 1e6 - from;
                    spill_s.push(since(first, LOST_AT));
                    return_s.push(since(last, LOST_AT + LOST_FOR));
                }
            } else {
                without.push(r.g);
            }
            reads[usize::from(joined)].push(r.in_time[0]);
            votes[usize::from(joined)].push(r.in_time[1]);
        }
        helper.push(own[0] - own[1]);
    }
    let gain: Vec<f64> = with.iter().zip(&without).map(|(w, o)| w - o).collect();
    let (gained, gained_by) = interval(&gain);
    let (lost_by_helper, helper_by) = interval(&helper);
    held &= gained - gained_by > GAIN_BOUND || seeds < 3;
    held &= lost_by_helper <= HELPER_BOUND;

    println!("{scenarios} scenarios of the hard cases");
    let (mut clean, mut worst) = (0, Vec::new());
    let cases: Vec<Scenario> = (0..scenarios).map(|n| hard(n % CASES, n / CASES).1).collect();
    for (n, outcome) in (0..scenarios).zip(play_all(&cases, lanes)?) {
        let (name, _) = hard(n % CASES, n / CASES);
        let v = &outcome.verdict;
        let looped = v.count(Broken::Looped) + v.count(Broken::OverBudget);
        if v.is_clean() {
            clean += 1;
        } else {
            worst.push(format!("{name}, seed {}", n / CASES));
            print!("{name}:\n{v}");
            for (proxy, lines) in outcome.logs.iter().enumerate() {
                lines.iter().filter(|l| l.contains("region")).for_each(|l| println!("    p{proxy}: {l}"));
            }
        }
        let g: Vec<String> = v.regions.iter().map(|r| format!("{:.3}", r.g)).collect();
        println!("  {name}, {}: G {}, {looped} looped or over", n / CASES, g.join(" "));
    }
    held &= clean == scenarios;

    println!("{keys} changes of keys while everything leaves");
    let mut s = base(77, 2);
    (s.seconds, s.clients.leaving) = (3.0 + f64::from(keys) * 0.3, 0.0);
    let until_the_end = s.seconds - 0.5;
    let s = lost(s, 0.5, until_the_end);
    let s = s.event(2.0, What::NewKeys { times: keys, every_s: 0.3 });
    let changed = play(&s)?;
    let changed_clean = changed.verdict.is_clean();
    if !changed_clean {
        print!("{}", changed.verdict);
    }
    let taken = changed.logs.iter().flatten().filter(|l| l.contains("keys read again and in use")).count();
    held &= changed_clean && taken > 0;

    let pairs: Vec<(f64, f64)> =
        (1..=3).map(|n| Ok((price(n, false)?, price(n, true)?))).collect::<io::Result<_>>()?;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(of).sum::<f64>() / pairs.len() as f64;
    let bad = fuzz();
    held &= bad == 0;
    let pair = |all: &[f64]| {
        let (mean, by) = interval(all);
        json!([round(mean), round(by.min(9.0))])
    };
    Ok(json!({
        "measure": "region", "seeds": seeds, "with": pair(&with), "without": pair(&without),
        "gain": [round(gained), round(gained_by.min(9.0))], "gain_bound": GAIN_BOUND,
        "reads_with": pair(&reads[1]), "reads_without": pair(&reads[0]),
        "votes_with": pair(&votes[1]), "votes_without": pair(&votes[0]),
        "helper_loses": [round(lost_by_helper), round(helper_by.min(9.0))], "helper_bound": HELPER_BOUND,
        "seconds_to_leave": pair(&spill_s), "seconds_to_return": pair(&return_s),
        "scenarios": scenarios, "clean": clean, "not_clean": worst,
        "key_changes": keys, "keys_taken": taken, "keys_clean": changed_clean,
        "cpu_us_at_home": round(mean(&|p| p.0)), "cpu_us_half_over_the_hop": round(mean(&|p| p.1)),
        "fuzzed": FUZZ, "fuzz_failed": bad, "held": held,
    }))
}
