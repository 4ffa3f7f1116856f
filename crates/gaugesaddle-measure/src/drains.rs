//! Drains, with real processes: a tier whose discovery fails and returns during a deploy while most proxies are killed,
//! audited by the records of all simulated clients and nodes; and the resources that the largest lists and tiers need.

use crate::proc::{cpu_seconds, peak_kb};
use crate::runs::{interval, play_all, round};
use gaugesaddle_testbed::scenario::{Clients, Kind};
use gaugesaddle_testbed::scripted::{
    config, endpoint, ok, request, send_request, until, Backend, Discovery, Proxy,
};
use gaugesaddle_testbed::{program, Disturbance, Scenario, Violation};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

const PROXIES: usize = 24;
const NODES: usize = 24;
const SECONDS: f64 = 12.0;
/// Minimum service of a run; below it the loss of service hides violations of the drain rule.
const MIN_SERVICE: f64 = 0.5;
/// Sizes, as proxies and backends: the deployment, the trial, and one that must not exceed any limit.
const SIZES: [(u32, usize); 3] = [(300, 200), (350, 600), (1024, 1024)];
/// Maximum peak memory at the largest size, with limits of 32 MB and 192 descriptors.
const MAX_PEAK_KB: u64 = 16 << 10;
/// Maximum time from start to readiness.
const MAX_READY_MS: f64 = 1_000.0;
/// Maximum CPU time per change of one backend; each change selects the subset from the whole list again.
const MAX_CHANGE_MS: f64 = 10.0;
const CHANGE_COUNT: usize = 100;

/// Discovery is down for some seconds; two of three proxies are killed meanwhile and start during the outage or after
/// it; a deploy begins when discovery returns, and on some seeds discovery moves afterwards.
fn discovery_outage_with_deploy(seed: u64) -> Scenario {
    let kinds = vec![
        Kind { name: "fast".into(), count: NODES / 3, speed: 1.8, ..Kind::default() },
        Kind { name: "slow".into(), count: NODES - NODES / 3, speed: 0.9, ..Kind::default() },
    ];
    let clients = Clients { per_s: 20.0 * NODES as f64, ..Clients::default() };
    let mut s = Scenario { seconds: SECONDS, proxies: PROXIES, kinds, clients, ..Scenario::default() }
        .seed(seed)
        .named("discovery lost and back into a release");
    s.discovery.notice_s = [0.05, 0.4];
    let outage_s = 1.0 + 0.13 * (seed % 17) as f64;
    let (fails_at, returns_at) = (1.5, 1.5 + outage_s);
    s = s.event(fails_at, Disturbance::DiscoveryDown { for_s: outage_s });
    for proxy in (0..PROXIES).filter(|p| (p + seed as usize) % 3 != 0) {
        let back_after_s = 0.3 + 0.11 * ((proxy as u64 + seed) % 29) as f64;
        s = s.event(fails_at + 0.4, Disturbance::KillProxy { proxy, back_after_s });
    }
    // The drains of the deploy begin 0, 0.25 or 0.5 s before discovery returns.
    let deploy_lead_s = 0.25 * (seed % 3) as f64;
    s = s.event(returns_at - deploy_lead_s, Disturbance::Deploy { nodes: NODES / 2, group: 4, every_s: 0.9 });
    if seed % 4 == 0 {
        s = s.event(returns_at + 1.0, Disturbance::DiscoveryMove {});
    }
    s
}

/// Starts one proxy of a tier of `proxies` with a list of `backends` entries that share eight listeners, and measures
/// its resources.
fn measure_size(proxies: u32, backends: usize) -> io::Result<Value> {
    let nodes: Vec<Backend> = (0..8).map(|_| Backend::start(|_| ok("x"))).collect();
    let address_of = |n: usize| -> SocketAddr { nodes[n % nodes.len()].address };
    let entry = |n: usize, state: &str| {
        let mut line = endpoint(&format!("s-{n:08x}"), address_of(n), state, 0);
        line["zone"] = json!(["east", "west"][n % 2]);
        line["type"] = json!(["fast", "slow", "wide"][n % 3]);
        line
    };
    let all: Vec<Value> = (0..backends).map(|n| entry(n, "ready")).collect();
    let discovery = Discovery::start();
    let mut config = config(discovery.address, &all);
    config["settings"]["group_size"] = json!(proxies);
    config["settings"]["position"] = json!(proxies - 1);
    config["limits"]["memory_mb"] = json!(32);
    config["limits"]["sockets"] = json!(192);
    let start = Instant::now();
    let proxy = Proxy::start(&config);
    let ready_ms = start.elapsed().as_secs_f64() * 1e3;
    discovery.indent();
    discovery.publish(true, &all);
    let served = (0..400).filter(|_| send_request(&proxy, &request("read", 5_000)).status() == 200).count();
    let before = cpu_seconds(proxy.id())?;
    for n in 0..CHANGE_COUNT {
        let state = if n % 2 == 0 { "draining" } else { "ready" };
        discovery.publish(false, &[entry(n / 2, state)]);
    }
    let change_ms = (cpu_seconds(proxy.id())? - before) * 1e3 / CHANGE_COUNT as f64;
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", proxy.id()))?.count();
    let peak = peak_kb(proxy.id())?;
    // All backends start draining in one update: the proxy must report that it is not ready.
    let departed: Vec<Value> = (0..backends).map(|n| entry(n, "draining")).collect();
    discovery.publish(false, &departed);
    until("not ready", || proxy.ready() == 503);
    println!(
        "{proxies} proxies, {backends} backends: ready after {ready_ms:.0} ms, {served} of 400 served, peak {peak} KB, \
         {descriptors} descriptors, {change_ms:.2} ms CPU a change"
    );
    let within_bounds = served == 400
        && peak <= MAX_PEAK_KB
        && ready_ms <= MAX_READY_MS
        && change_ms <= MAX_CHANGE_MS
        && descriptors <= 192;
    Ok(json!({
        "proxies": proxies, "backends": backends, "ready_ms": round(ready_ms), "served_of_400": served,
        "peak_kb": peak, "descriptors": descriptors, "cpu_ms_a_change": round(change_ms), "held": within_bounds,
    }))
}

/// Runs the measurement.
pub fn measure(seeds: u64, lanes: usize) -> io::Result<Value> {
    program::build("gaugesaddle")?;
    println!("sizes, with limits of 32 MB and 192 descriptors:");
    let sizes = SIZES.iter().map(|(p, b)| measure_size(*p, *b)).collect::<io::Result<Vec<_>>>()?;
    println!("{PROXIES} proxies with an agent each, discovery down and back, {seeds} seeds:");
    let scenarios: Vec<Scenario> = (0..seeds).map(discovery_outage_with_deploy).collect();
    let outcomes = play_all(&scenarios, lanes)?;
    let (mut drains, mut others, mut served) = (0, 0, Vec::new());
    for (s, outcome) in scenarios.iter().zip(&outcomes) {
        let verdict = &outcome.verdict;
        let drain_findings = verdict.findings.iter().filter(|f| f.violation == Violation::Drain).count();
        drains += drain_findings;
        others += verdict.findings.len() - drain_findings;
        served.push(verdict.g);
        if !verdict.is_clean() {
            println!("seed {}:\n{verdict}", s.seed);
        }
    }
    let (mean, half_width) = interval(&served);
    let worst = served.iter().copied().fold(1.0, f64::min);
    println!(
        "G {mean:.3} +- {half_width:.3}, worst {worst:.3}; {drains} violations of drains, {others} other findings"
    );
    let sizes_within_bounds = sizes.iter().all(|s| s["held"] == true);
    let within_bounds = sizes_within_bounds && drains == 0 && others == 0 && worst >= MIN_SERVICE;
    Ok(json!({
        "measure": "drains", "seeds": seeds, "drains_broken": drains, "other_findings": others,
        "g": round(mean), "g_half_width": round(half_width), "g_worst": round(worst), "g_bound": MIN_SERVICE,
        "sizes": sizes, "peak_kb_bound": MAX_PEAK_KB, "ready_ms_bound": MAX_READY_MS, "change_ms_bound": MAX_CHANGE_MS,
        "held": within_bounds,
    }))
}
