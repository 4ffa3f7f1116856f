//! Another region as last resort: service with all zones of a region lost, with and without the other region; what the
//! region that helps loses; how long requests take to leave and to return; the hard cases with their rules; keys replaced
//! under load; the price of a hop.

mod scenarios;

use crate::proc::children_cpu_seconds;
use crate::runs::{cast, interval, play, play_all, play_with, round};
use gaugesaddle_federation::Via;
use gaugesaddle_testbed::{Disturbance, Event, Outcome, Scenario, Violation};
use scenarios::{base, hard, lost, CASES, LOST_AT, LOST_FOR};
use serde_json::{json, Value};
use std::io;

/// Most that the region that helps may lose of its own clients' service.
const MAX_HELPER_LOSS: f64 = 0.01;
/// Least service that the other region adds while the zones are lost.
const MIN_GAIN: f64 = 0.1;
/// Random headers for the parser of `Via`.
const FUZZED_HEADERS: u64 = 100_000;
/// Half a width of an interval is reported up to this: of fewer than two runs there is none.
const MAX_HALF_WIDTH: f64 = 9.0;

/// Random text and near-valid paths for the parser of the header: no panic, and what is parsed survives a round trip.
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
    for _ in 0..FUZZED_HEADERS {
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
    let asked: u64 = outcome.verdict.classes.iter().map(|c| c.attempts).sum();
    Ok(used * 1e6 / asked.max(1) as f64)
}

/// The figures of the runs with all zones of the first region lost.
#[derive(Default)]
struct Losses {
    with: Vec<f64>,
    without: Vec<f64>,
    /// What the other region loses by helping, by seed.
    helper_loss: Vec<f64>,
    /// In-time fractions of reads, without and with the other region.
    reads: [Vec<f64>; 2],
    votes: [Vec<f64>; 2],
    seconds_to_leave: Vec<f64>,
    seconds_to_return: Vec<f64>,
    has_findings: bool,
}

impl Losses {
    fn play(seeds: u64, lanes: usize) -> io::Result<Losses> {
        println!(
            "all halls of a region lost for {LOST_FOR} s, {seeds} seeds, with and without the other region"
        );
        let runs = (1..=seeds).flat_map(|seed| [(seed, false), (seed, true)]).map(|(seed, joined)| {
            let mut s = lost(base(seed, 2), LOST_AT, LOST_FOR);
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
            "  seed {seed}, {}: north {:.3} (reads {:.3}, votes {:.3}), south {:.3}, {} left, {} at most in a second",
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
                self.seconds_to_leave.push(since(first, LOST_AT));
                self.seconds_to_return.push(since(last, LOST_AT + LOST_FOR));
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

/// The hard cases: how many broke no rule, and the others by name.
fn play_hard_cases(scenarios: u64, lanes: usize) -> io::Result<(u64, Vec<String>)> {
    println!("{scenarios} scenarios of the hard cases");
    let (mut clean, mut not_clean) = (0, Vec::new());
    let cases = (0..scenarios).map(|n| hard(n % CASES, n / CASES));
    let (names, cases): (Vec<&str>, Vec<Scenario>) = cases.unzip();
    for ((n, name), outcome) in (0..scenarios).zip(names).zip(play_all(&cases, lanes)?) {
        let seed = n / CASES;
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
        let looped = verdict.count(Violation::Looped) + verdict.count(Violation::OverBudget);
        let service: Vec<String> = verdict.regions.iter().map(|region| format!("{:.3}", region.g)).collect();
        println!("  {name}, {seed}: G {}, {looped} looped or over", service.join(" "));
    }
    Ok((clean, not_clean))
}

/// Keys replaced that many times while every request leaves: whether no rule was broken, and how often new keys were used.
fn play_key_changes(keys: u32) -> io::Result<(bool, usize)> {
    println!("{keys} changes of keys while everything leaves");
    let mut s = base(77, 2);
    (s.seconds, s.clients.leaving) = (3.0 + f64::from(keys) * 0.3, 0.0);
    let until_the_end = s.seconds - 0.5;
    let s = lost(s, 0.5, until_the_end);
    let outcome = play(&s.event(2.0, Disturbance::NewKeys { times: keys, every_s: 0.3 }))?;
    let is_clean = outcome.verdict.is_clean();
    if !is_clean {
        print!("{}", outcome.verdict);
    }
    let used = outcome.logs.iter().flatten().filter(|l| l.contains("keys read again and in use")).count();
    Ok((is_clean, used))
}

/// Mean and half the width of its interval.
fn with_interval(all: &[f64]) -> [f64; 2] {
    let (mean, half) = interval(all);
    [round(mean), round(half.min(MAX_HALF_WIDTH))]
}

/// Runs the measurement: `seeds` of the loss with and without the other region, `scenarios` of the hard cases, `keys` changes
/// of keys.
///
/// # Errors
/// A scenario could not be played.
pub fn measure(seeds: u64, scenarios: u64, keys: u32, lanes: usize) -> io::Result<Value> {
    let losses = Losses::play(seeds, lanes)?;
    let (gain, gain_half) = interval(&losses.gain());
    let (helper_loss, _) = interval(&losses.helper_loss);
    let (clean, not_clean) = play_hard_cases(scenarios, lanes)?;
    let (keys_clean, keys_used) = play_key_changes(keys)?;
    let prices: Vec<(f64, f64)> =
        (1..=3).map(|n| Ok((price(n, false)?, price(n, true)?))).collect::<io::Result<_>>()?;
    let mean_price =
        |pick: fn(&(f64, f64)) -> f64| prices.iter().map(pick).sum::<f64>() / prices.len() as f64;
    let fuzz_failed = fuzz();
    let held = !losses.has_findings
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
        "cpu_us_at_home": round(mean_price(|p| p.0)), "cpu_us_half_over_the_hop": round(mean_price(|p| p.1)),
        "fuzzed": FUZZED_HEADERS, "fuzz_failed": fuzz_failed, "held": held,
    }))
}
