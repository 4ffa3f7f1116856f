//! Failover between regions: service during the loss of all zones of a region, with and without the other region; the
//! loss of service in the region that takes over; the time until requests are forwarded and until they return; fault
//! cases checked by the auditor; key changes under load; and the CPU cost of forwarding.

mod scenarios;

use crate::proc::children_cpu_seconds;
use crate::runs::{cast, interval, play, play_all, play_with, round};
use gaugesaddle_federation::Via;
use gaugesaddle_testbed::{Disturbance, Event, Outcome, Scenario, Violation};
use scenarios::{base, fault_case, lose_first_region, CASE_COUNT, LOST_AT_S, LOST_FOR_S};
use serde_json::{json, Value};
use std::io;

/// Maximum loss of service for the clients of the region that takes over.
const MAX_HELPER_LOSS: f64 = 0.01;
/// Minimum gain in service by the other region while the zones are lost.
const MIN_GAIN: f64 = 0.1;
/// Number of random headers parsed as `Via`.
const FUZZED_HEADERS: u64 = 100_000;
/// Maximum reported half width of an interval; with fewer than two runs it is infinite.
const MAX_HALF_WIDTH: f64 = 9.0;

/// Parses random text and nearly valid paths as the header; returns how many parsed values do not survive a round trip.
fn fuzz() -> u64 {
    let mut state = 0x9e37_79b9_7f4a_7c15u64;
    let mut next_random = |below: u64| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state % below.max(1)
    };
    let parts =
        ["north", "south", ", ", ";left=", "0", "1", "9", "-", " ", "\t", "é", "a", ",", ";", "=", "\u{0}"];
    let mut failed = 0;
    for _ in 0..FUZZED_HEADERS {
        let text: String =
            (0..next_random(12)).map(|_| parts[next_random(parts.len() as u64) as usize]).collect();
        if let Ok(path) = Via::parse(&text, "north") {
            failed += u64::from(Via::parse(&path.header_value(), "north") != Ok(path));
        }
    }
    failed
}

/// CPU of all proxies per request, in microseconds, with or without the loss of a region for most of the run.
fn cpu_per_request(seed: u64, lose_region: bool) -> io::Result<f64> {
    let mut s = base(seed, 2);
    (s.seconds, s.clients.leaving) = (8.0, 0.0);
    let s = if lose_region { lose_first_region(s, 0.2, 7.8) } else { s };
    let cast = cast()?;
    let before = children_cpu_seconds()?;
    let outcome = play_with(&cast, &s)?;
    let used = children_cpu_seconds()? - before;
    let attempts: u64 = outcome.verdict.classes.iter().map(|c| c.attempts).sum();
    Ok(used * 1e6 / attempts.max(1) as f64)
}

/// The figures of the runs with all zones of the first region lost.
#[derive(Default)]
struct Losses {
    with: Vec<f64>,
    without: Vec<f64>,
    /// Loss of service in the region that takes over, by seed.
    helper_loss: Vec<f64>,
    /// In-time fractions of reads, without and with the other region.
    reads: [Vec<f64>; 2],
    votes: [Vec<f64>; 2],
    seconds_to_leave: Vec<f64>,
    seconds_to_return: Vec<f64>,
    has_findings: bool,
}

impl Losses {
    fn measure(seeds: u64, lanes: usize) -> io::Result<Losses> {
        println!(
            "all zones of a region lost for {LOST_FOR_S} s, {seeds} seeds, with and without the other region"
        );
        let runs = (1..=seeds).flat_map(|seed| [(seed, false), (seed, true)]).map(|(seed, joined)| {
            let mut s = lose_first_region(base(seed, 2), LOST_AT_S, LOST_FOR_S);
            s.regions.joined = joined;
            s
        });
        let mut outcomes = play_all(&runs.collect::<Vec<_>>(), lanes)?.into_iter();
        let mut losses = Losses::default();
        for seed in 1..=seeds {
            let mut helper = [0.0; 2];
            for joined in [false, true] {
                let Some(outcome) = outcomes.next() else { continue };
                helper[usize::from(joined)] = outcome.verdict.regions[1].g;
                losses.add(seed, joined, &outcome);
            }
            losses.helper_loss.push(helper[0] - helper[1]);
        }
        Ok(losses)
    }

    fn add(&mut self, seed: u64, joined: bool, outcome: &Outcome) {
        let verdict = &outcome.verdict;
        if !verdict.is_clean() {
            self.has_findings = true;
            print!("{verdict}");
        }
        let (own, other) = (&verdict.regions[0], &verdict.regions[1]);
        println!(
            "  seed {seed}, {}: north {:.3} (reads {:.3}, votes {:.3}), south {:.3}, {} forwarded, at most {} in a second",
            if joined { "with" } else { "without" },
            own.g,
            own.in_time[0],
            own.in_time[1],
            other.g,
            own.spilled,
            own.max_spilled_per_s
        );
        if joined {
            self.with.push(own.g);
            let is_request = |event: &Event| matches!(event, Event::RequestSent { .. });
            let start = outcome.records.iter().find(|r| is_request(&r.event)).map_or(0, |r| r.at);
            if let Some((first, last)) = other.inbound_span {
                let since = |at: u64, from: f64| at.saturating_sub(start) as f64 / 1e6 - from;
                self.seconds_to_leave.push(since(first, LOST_AT_S));
                self.seconds_to_return.push(since(last, LOST_AT_S + LOST_FOR_S));
            }
        } else {
            self.without.push(own.g);
        }
        self.reads[usize::from(joined)].push(own.in_time[0]);
        self.votes[usize::from(joined)].push(own.in_time[1]);
    }

    fn gain(&self) -> Vec<f64> {
        self.with.iter().zip(&self.without).map(|(with, without)| with - without).collect()
    }
}

/// Runs the fault cases; returns how many violated no rule, and the names and seeds of the others.
fn run_fault_cases(scenarios: u64, lanes: usize) -> io::Result<(u64, Vec<String>)> {
    println!("{scenarios} scenarios of the fault cases");
    let (mut clean, mut not_clean) = (0, Vec::new());
    let cases = (0..scenarios).map(|n| fault_case(n % CASE_COUNT, n / CASE_COUNT));
    let (names, cases): (Vec<&str>, Vec<Scenario>) = cases.unzip();
    for ((n, name), outcome) in (0..scenarios).zip(names).zip(play_all(&cases, lanes)?) {
        let seed = n / CASE_COUNT;
        let verdict = &outcome.verdict;
        if verdict.is_clean() {
            clean += 1;
        } else {
            not_clean.push(format!("{name}, seed {seed}"));
            print!("{name}:\n{verdict}");
            for (proxy, log) in outcome.logs.iter().enumerate() {
                log.iter().filter(|l| l.contains("region")).for_each(|l| println!("    p{proxy}: {l}"));
            }
        }
        let violations = verdict.count(Violation::Looped) + verdict.count(Violation::OverBudget);
        let service: Vec<String> = verdict.regions.iter().map(|region| format!("{:.3}", region.g)).collect();
        println!("  {name}, {seed}: G {}, {violations} looped or over budget", service.join(" "));
    }
    Ok((clean, not_clean))
}

/// Replaces the keys `keys` times while all requests are forwarded; returns whether no rule was violated, and how often
/// proxies adopted new keys.
fn run_key_changes(keys: u32) -> io::Result<(bool, usize)> {
    println!("{keys} key changes while all requests are forwarded");
    let mut s = base(77, 2);
    (s.seconds, s.clients.leaving) = (3.0 + f64::from(keys) * 0.3, 0.0);
    let duration = s.seconds - 0.5;
    let s = lose_first_region(s, 0.5, duration);
    let outcome = play(&s.event(2.0, Disturbance::NewKeys { times: keys, every_s: 0.3 }))?;
    let is_clean = outcome.verdict.is_clean();
    if !is_clean {
        print!("{}", outcome.verdict);
    }
    let used = outcome.logs.iter().flatten().filter(|l| l.contains("keys read again and in use")).count();
    Ok((is_clean, used))
}

/// Mean and half the width of its confidence interval.
fn with_interval(all: &[f64]) -> [f64; 2] {
    let (mean, half) = interval(all);
    [round(mean), round(half.min(MAX_HALF_WIDTH))]
}

/// Runs the measurement: the loss of a region for `seeds` seeds, with and without the other region; `scenarios`
/// scenarios of the fault cases; and `keys` key changes.
///
/// # Errors
/// A scenario could not be run.
pub fn measure(seeds: u64, scenarios: u64, keys: u32, lanes: usize) -> io::Result<Value> {
    let losses = Losses::measure(seeds, lanes)?;
    let (gain, gain_half) = interval(&losses.gain());
    let (helper_loss, _) = interval(&losses.helper_loss);
    let (clean, not_clean) = run_fault_cases(scenarios, lanes)?;
    let (keys_clean, keys_used) = run_key_changes(keys)?;
    let cpu_costs: Vec<(f64, f64)> = (1..=3)
        .map(|n| Ok((cpu_per_request(n, false)?, cpu_per_request(n, true)?)))
        .collect::<io::Result<_>>()?;
    let mean_cpu =
        |pick: fn(&(f64, f64)) -> f64| cpu_costs.iter().map(pick).sum::<f64>() / cpu_costs.len() as f64;
    let fuzz_failed = fuzz();
    let within_bounds = !losses.has_findings
        && (gain - gain_half > MIN_GAIN || seeds < 3)
        && helper_loss <= MAX_HELPER_LOSS
        && clean == scenarios
        && keys_clean
        && keys_used > 0
        && fuzz_failed == 0;
    Ok(json!({
        "measure": "region", "seeds": seeds,
        "with": with_interval(&losses.with), "without": with_interval(&losses.without),
        "gain": with_interval(&losses.gain()), "gain_bound": MIN_GAIN,
        "reads_with": with_interval(&losses.reads[1]), "reads_without": with_interval(&losses.reads[0]),
        "votes_with": with_interval(&losses.votes[1]), "votes_without": with_interval(&losses.votes[0]),
        "helper_loses": with_interval(&losses.helper_loss), "helper_bound": MAX_HELPER_LOSS,
        "seconds_to_leave": with_interval(&losses.seconds_to_leave),
        "seconds_to_return": with_interval(&losses.seconds_to_return),
        "scenarios": scenarios, "clean": clean, "not_clean": not_clean,
        "key_changes": keys, "keys_taken": keys_used, "keys_clean": keys_clean,
        "cpu_us_at_home": round(mean_cpu(|p| p.0)), "cpu_us_half_over_the_hop": round(mean_cpu(|p| p.1)),
        "fuzzed": FUZZED_HEADERS, "fuzz_failed": fuzz_failed, "held": within_bounds,
    }))
}
