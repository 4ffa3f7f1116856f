//! Membership of the proxy tier: detection times of deaths and restarts, convergence after a partition heals, false
//! deaths, cost, and robustness against combinations of faults and malformed datagrams. Measured with real processes
//! and in virtual time; the latter is compared with the library foca under the same scripts and random draws.

mod foca;

use crate::proc::children_cpu_seconds;
use crate::runs::{cast, play as play_scenario, play_all, play_with, round};
use gaugesaddle_proxy_simulation::fuzz::fuzz;
use gaugesaddle_proxy_simulation::tier::{
    play, script_with_starts, Links, MembershipFactory, ProcessFactory, Report, Step,
};
use gaugesaddle_testbed::scenario::{Clients, Kind as Nodes};
use gaugesaddle_testbed::tier::quantile;
use gaugesaddle_testbed::{hunt, Disturbance, Event, Outcome, Scenario};
use serde_json::{json, Value};
use std::io;
use std::time::Duration;

const S: u64 = 1_000_000;
/// Maximum 95th percentile of the time to detect a death.
const MAX_DETECTION_P95_S: f64 = 3.0;
/// Maximum time to detect a death.
const MAX_DETECTION_S: f64 = 6.0;
/// Maximum time until all processes agree after a partition heals.
const MAX_CONVERGENCE_S: f64 = 3.0;
/// Maximum traffic sent by each of 300 proxies without faults, in bytes per second.
const MAX_BYTES_PER_S_AT_300: u64 = 16_000;
/// Maximum 99th percentile latency of votes with membership enabled, relative to disabled.
const MAX_VOTES_RATIO: f64 = 1.1;
/// Number of malformed datagrams sent to a process.
const MALFORMED_DATAGRAMS: u64 = 100_000;

/// The extent of the measurement.
pub struct Extent {
    /// Kills in each tier of processes.
    pub kills: usize,
    /// Minutes of the runs without faults.
    pub minutes: f64,
    /// Seconds of the search over combinations of faults.
    pub hunt_s: f64,
    /// Pairs of runs with and without membership.
    pub pairs: usize,
    /// Concurrent runs of the search.
    pub lanes: usize,
}

fn secs(us: u64) -> f64 {
    (us as f64 / 1e4).round() / 100.0
}

fn detection_times(all: &[u64]) -> Value {
    json!({"n": all.len(), "p50_s": secs(quantile(all, 0.5)), "p95_s": secs(quantile(all, 0.95)),
           "worst_s": secs(quantile(all, 1.0))})
}

fn detected_in_time(all: &[u64]) -> bool {
    !all.is_empty()
        && secs(quantile(all, 0.95)) <= MAX_DETECTION_P95_S
        && secs(quantile(all, 1.0)) <= MAX_DETECTION_S
}

/// A case in virtual time: name, steps after the start, and end time.
type Case = (&'static str, Vec<(u64, Step)>, u64);

fn cases(n: usize) -> Vec<Case> {
    let kills = n.min(30) / 3 * 2;
    let one_by_one = (0..kills).map(|k| (5 * S + k as u64 * S / 10, Step::Kill(k * n / kills))).collect();
    let half = (0..n / 2).map(|p| (5 * S, Step::Kill(p))).collect();
    let healed = (15 * S, Step::Links(Links::default()));
    let loss = |part: f64| Links { loss: part, ..Links::default() };
    vec![
        ("killed one by one", one_by_one, 13 * S),
        ("half killed at once", half, 12 * S),
        ("halves, healed", vec![(5 * S, Step::Links(Links::partitioned(n, 2))), healed.clone()], 20 * S),
        ("30% lost", vec![(5 * S, Step::Links(loss(0.3))), healed.clone()], 20 * S),
        ("50% lost", vec![(5 * S, Step::Links(loss(0.5))), healed.clone()], 20 * S),
        ("stopped 4 s", vec![(5 * S, Step::Suspend(1)), (9 * S, Step::Resume(1))], 14 * S),
    ]
}

fn report_json(report: &Report, settles: bool) -> Value {
    json!({"death_known": detection_times(&report.death_known), "start_known": detection_times(&report.start_known),
           "settled_after_s": settles.then(|| secs(report.converged_after)), "false_deaths": report.false_deaths,
           "longest_false_s": secs(report.longest_false_death), "unsettled": report.disagreements.len(),
           "went_back": report.regressions.len()})
}

/// Maximum over processes of the bytes and datagrams sent per second without faults.
fn idle_traffic(factory: &dyn ProcessFactory, n: usize) -> (u64, u64) {
    let end = |s: u64| play(factory, n, &script_with_starts(n, &[]), s * S, 1).sent;
    let (early, late) = (end(5), end(8));
    let most = early.iter().zip(&late).map(|(a, b)| ((b.1 - a.1) / 3, (b.0 - a.0) / 3));
    most.fold((0, 0), |m, x| (m.0.max(x.0), m.1.max(x.1)))
}

fn virtual_time() -> (Value, bool) {
    let (mut figures, mut within_bounds) = (serde_json::Map::new(), true);
    for n in [30, 300] {
        let mut of = serde_json::Map::new();
        for (name, script, end) in cases(n) {
            let script = script_with_starts(n, &script);
            let report = play(&MembershipFactory::default(), n, &script, end, 1);
            let deaths = report.death_known.is_empty() || detected_in_time(&report.death_known);
            within_bounds &= deaths && report.regressions.is_empty() && report.disagreements.is_empty();
            within_bounds &= report.converged_after as f64 <= MAX_CONVERGENCE_S * S as f64
                || !report.death_known.is_empty();
            within_bounds &= name.contains("lost") || report.false_deaths == 0;
            let foca_figures: Vec<Value> = [800, 2400]
                .into_iter()
                .map(|ms| {
                    let factory = foca::FocaFactory::new(Duration::from_millis(ms));
                    let report = play(&factory, n, &script, end, 1);
                    json!({"suspect_ms": ms, "figures": report_json(&report, true)})
                })
                .collect();
            println!("{n} in virtual time, {name}: {}", report_json(&report, true));
            foca_figures.iter().for_each(|t| println!("    foca: {t}"));
            of.insert(name.into(), json!({"peers": report_json(&report, true), "foca": foca_figures}));
        }
        let ((bytes, datagrams), foca_traffic) = (
            idle_traffic(&MembershipFactory::default(), n),
            idle_traffic(&foca::FocaFactory::new(Duration::from_millis(2400)), n),
        );
        within_bounds &= n != 300 || bytes < MAX_BYTES_PER_S_AT_300;
        println!("{n} without faults: {bytes} bytes and {datagrams} datagrams a second with records; foca {foca_traffic:?} without");
        of.insert(
            "peace".into(),
            json!({"bytes_per_s": bytes, "datagrams_per_s": datagrams, "foca_bytes_per_s": foca_traffic.0}),
        );
        figures.insert(n.to_string(), Value::Object(of));
    }
    let kills: Vec<_> = (0..10).map(|k| (4 * S, Step::Kill(k * 97))).collect();
    let report = play(&MembershipFactory::default(), 1000, &script_with_starts(1000, &kills), 10 * S, 1);
    within_bounds &=
        detected_in_time(&report.death_known) && report.false_deaths == 0 && report.regressions.is_empty();
    println!("1000 in virtual time, ten killed at once: {}", report_json(&report, true));
    figures.insert("1000".into(), report_json(&report, true));
    (Value::Object(figures), within_bounds)
}

fn base(proxies: usize, per_s: f64, seconds: f64) -> Scenario {
    let clients = Clients { per_s, leaving: 0.0, single_request: 0.0, ..Clients::default() };
    Scenario { proxies, peers: true, seconds, clients, ..Scenario::default() }
}

/// Kills with restarts, followed by partitions that heal.
fn kills_and_partitions(proxies: usize, kills: usize) -> Scenario {
    let (each, heals) = (6.0, 5);
    let end = 3.0 + each * kills as f64;
    let s = base(proxies, 5.0, end + 8.0 * f64::from(heals) + 8.0).named(&format!("{proxies} proxies"));
    let s = (0..kills).fold(s, |s, k| {
        s.event(3.0 + each * k as f64, Disturbance::KillProxy { proxy: k % proxies, back_after_s: 3.0 })
    });
    (0..heals).fold(s, |s, n| {
        let links = Links::partitioned(proxies, 2);
        s.event(end + 8.0 * f64::from(n), Disturbance::Network { links, zones: Vec::new(), for_s: 4.0 })
    })
}

fn processes(kills: usize) -> io::Result<(Value, bool)> {
    let all = [3, 10, 30].map(|n| kills_and_partitions(n, kills));
    let (mut figures, mut within_bounds) = (serde_json::Map::new(), true);
    for (s, outcome) in all.iter().zip(play_all(&all, all.len())?) {
        let Some(tier) = &outcome.tier else { continue };
        let agreed = quantile(&tier.agreed, 1.0);
        let is_within_bounds =
            outcome.is_clean() && detected_in_time(&tier.death_known) && secs(agreed) <= MAX_CONVERGENCE_S;
        within_bounds &= is_within_bounds && tier.false_deaths == 0;
        let report_json = json!({"death_known": detection_times(&tier.death_known), "return_known": detection_times(&tier.start_known),
            "agreed_after_heal": detection_times(&tier.agreed), "false_deaths": tier.false_deaths, "clean": outcome.is_clean()});
        println!("{} as processes: {report_json}", s.name);
        if !outcome.is_clean() {
            println!("{}{tier}", outcome.verdict);
        }
        figures.insert(s.proxies.to_string(), report_json);
    }
    Ok((Value::Object(figures), within_bounds))
}

/// Runs without faults for some minutes: with few requests, and near the capacity of the nodes.
fn measure_without_faults(minutes: f64) -> io::Result<(Value, bool)> {
    let seconds = minutes * 60.0;
    let all = [base(10, 5.0, seconds).named("idle"), base(10, 260.0, seconds).named("loaded")];
    let (mut figures, mut within_bounds) = (serde_json::Map::new(), true);
    for (s, outcome) in all.iter().zip(play_all(&all, all.len())?) {
        let Some(tier) = &outcome.tier else { continue };
        let per_s = |pick: fn(&(u64, u64)) -> u64| {
            outcome.datagrams.iter().map(pick).max().unwrap_or(0) as f64 / (s.seconds + 3.0)
        };
        within_bounds &= outcome.is_clean() && tier.false_deaths == 0;
        let report_json = json!({"minutes": minutes, "false_deaths": tier.false_deaths, "clean": outcome.is_clean(),
            "datagrams_per_s": per_s(|d| d.0).round(), "bytes_per_s": per_s(|d| d.1).round(), "g": outcome.verdict.g});
        println!("10 proxies, {}: {report_json}", s.name);
        if !outcome.is_clean() || tier.false_deaths > 0 {
            println!("{}{tier}", outcome.verdict);
        }
        figures.insert(s.name.clone(), report_json);
    }
    Ok((Value::Object(figures), within_bounds))
}

/// CPU of the membership protocol per proxy in a tier of 30, in thousandths of a core: the difference of runs with and
/// without it.
fn measure_cpu() -> io::Result<Value> {
    let cast = cast()?;
    let spent = |peers: bool| -> io::Result<f64> {
        let before = children_cpu_seconds()?;
        play_with(&cast, &Scenario { peers, ..base(30, 5.0, 20.0) })?;
        Ok(children_cpu_seconds()? - before)
    };
    let (off, on) = (spent(false)?, spent(true)?);
    let each = (on - off) / 30.0 / 20.0 * 1000.0;
    println!("30 proxies for 20 s: {off:.2} s of CPU without membership, {on:.2} s with it: {each:.2} thousandths of a core each");
    Ok(
        json!({"off_cpu_s": off, "on_cpu_s": on, "thousandths_of_a_core_each": (each * 100.0).round() / 100.0}),
    )
}

fn votes_p99(outcome: &Outcome, class: usize) -> u64 {
    let mut sent_at = std::collections::HashMap::new();
    let mut delays = Vec::new();
    for r in &outcome.records {
        match &r.event {
            Event::RequestSent { id, class: c, .. } if *c == class => _ = sent_at.insert(*id, r.at),
            Event::Answered { id, status: 200, .. } => delays.extend(sent_at.remove(id).map(|at| r.at - at)),
            _ => {}
        }
    }
    quantile(&delays, 0.99)
}

fn votes(pairs: usize) -> io::Result<(Value, bool)> {
    let mut p99 = [Vec::new(), Vec::new()];
    for pair in 0..pairs {
        for on in [pair % 2 == 0, pair % 2 == 1] {
            let kinds = vec![Nodes { name: "n".into(), count: 12, speed: 1.5, ..Nodes::default() }];
            let s = Scenario { peers: on, kinds, ..base(6, 250.0, 12.0) }.seed(50 + pair as u64);
            let class = s.classes.iter().position(|c| c.name == "vote").unwrap_or(0);
            p99[usize::from(on)].push(votes_p99(&play_scenario(&s)?, class));
        }
    }
    let median = |all: &[u64]| quantile(all, 0.5);
    let (off, on) = (median(&p99[0]), median(&p99[1]));
    let ratio = on as f64 / off.max(1) as f64;
    println!(
        "p99 of votes, median of {pairs} runs: {off} us without membership, {on} us with it: {ratio:.3}"
    );
    Ok((json!({"off_us": off, "on_us": on, "ratio": round(ratio)}), ratio <= MAX_VOTES_RATIO))
}

/// Runs the measurement.
pub fn measure(extent: &Extent) -> io::Result<Value> {
    let fuzz = fuzz(MALFORMED_DATAGRAMS, 1).map_err(io::Error::other);
    let (malformed, malformed_within_bounds) = match &fuzz {
        Ok(report) => (
            json!({"tried": report.sent, "answered": report.replies, "garbled": report.counts.malformed,
            "foreign": report.counts.misaddressed, "forged": report.counts.unauthenticated, "replayed": report.counts.replayed}),
            true,
        ),
        Err(e) => (json!({"failed": e.to_string()}), false),
    };
    println!("malformed datagrams: {malformed}");
    let (in_virtual, virtual_within_bounds) = virtual_time();
    let (as_processes, processes_within_bounds) = processes(extent.kills)?;
    let (votes, votes_within_bounds) = votes(extent.pairs)?;
    let cpu = measure_cpu()?;
    let (without_faults, without_faults_within_bounds) = measure_without_faults(extent.minutes)?;
    let within = Duration::from_secs_f64(extent.hunt_s);
    let search =
        hunt::hunt(&cast()?, 11, within, extent.lanes, &std::env::temp_dir(), &|line| println!("{line}"))?;
    println!("{search}");
    let found = search.saved.len() + search.not_reproduced.len();
    let within_bounds = malformed_within_bounds
        && virtual_within_bounds
        && processes_within_bounds
        && votes_within_bounds
        && without_faults_within_bounds
        && found == 0;
    Ok(
        json!({"virtual": in_virtual, "processes": as_processes, "votes_p99": votes, "cpu": cpu, "peace": without_faults,
        "hunt": {"runs": search.runs, "proxies": search.proxies, "faults": search.faults, "findings": found,
                 "false_deaths": search.false_deaths},
        "malformed": malformed, "parts_held": {"malformed": malformed_within_bounds, "virtual": virtual_within_bounds,
        "processes": processes_within_bounds, "votes": votes_within_bounds, "peace": without_faults_within_bounds, "hunt": found == 0}, "held": within_bounds}),
    )
}
