//! Told is told, by processes: a tier whose discovery is lost and comes back into a release with most proxies killed, judged
//! by the records of all stand-ins; and what lists and tiers of the largest sizes take.

use crate::proc::{cpu_seconds, peak_kb};
use crate::runs::{interval, play_all, round};
use gaugesaddle_testbed::scenario::{Clients, Kind};
use gaugesaddle_testbed::scripted::{
    config, endpoint, ok, request, send_request, until, Backend, Discovery, Proxy,
};
use gaugesaddle_testbed::{program, Broken, Disturbance, Scenario};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

const PROXIES: usize = 24;
const NODES: usize = 24;
const SECONDS: f64 = 12.0;
/// Whole figures of a run: under it a service was lost, not a rule kept.
const MIN_SERVICE: f64 = 0.5;
/// The sizes: today's, the trial's, and what must be no cap.
const SIZES: [(u32, usize); 3] = [(300, 200), (350, 600), (1024, 1024)];
/// At the largest size, with 32 MB and 192 descriptors told.
const PEAK_KB: u64 = 16 << 10;
const READY_MS: f64 = 1_000.0;
/// A change of one backend, the whole list of which is chosen from anew.
const CHANGE_MS: f64 = 10.0;
const CHANGES: usize = 100;

/// Discovery is silent for some seconds; two in three proxies are killed meanwhile and start in the silence or after it;
/// a release begins in the moment of its return, and a move of discovery follows on some seeds.
fn lost_and_back(seed: u64) -> Scenario {
    let kinds = vec![
        Kind { name: "fast".into(), count: NODES / 3, speed: 1.8, ..Kind::default() },
        Kind { name: "slow".into(), count: NODES - NODES / 3, speed: 0.9, ..Kind::default() },
    ];
    let clients = Clients { per_s: 20.0 * NODES as f64, ..Clients::default() };
    let mut s = Scenario { seconds: SECONDS, proxies: PROXIES, kinds, clients, ..Scenario::default() }
        .seed(seed)
        .named("discovery lost and back into a release");
    s.discovery.notice_s = [0.05, 0.4];
    let silent = 1.0 + 0.13 * (seed % 17) as f64;
    let (from, back) = (1.5, 1.5 + silent);
    s = s.event(from, Disturbance::DiscoveryDown { for_s: silent });
    for proxy in (0..PROXIES).filter(|p| (p + seed as usize) % 3 != 0) {
        let back_after_s = 0.3 + 0.11 * ((proxy as u64 + seed) % 29) as f64;
        s = s.event(from + 0.4, Disturbance::KillProxy { proxy, back_after_s });
    }
    // The drains of a release begin before the return, in its moment, and after it.
    let lead = 0.25 * (seed % 3) as f64;
    s = s.event(back - lead, Disturbance::Deploy { nodes: NODES / 2, group: 4, every_s: 0.9 });
    if seed % 4 == 0 {
        s = s.event(back + 1.0, Disturbance::DiscoveryMove {});
    }
    s
}

/// One proxy told of so many others and so many backends, on few listeners: the list is what is tried.
fn size(proxies: u32, backends: usize) -> io::Result<Value> {
    let nodes: Vec<Backend> = (0..8).map(|_| Backend::start(|_| ok("x"))).collect();
    let place = |n: usize| -> SocketAddr { nodes[n % nodes.len()].address };
    let named = |n: usize, state: &str| {
        let mut line = endpoint(&format!("s-{n:08x}"), place(n), state, 0);
        line["zone"] = json!(["east", "west"][n % 2]);
        line["type"] = json!(["fast", "slow", "wide"][n % 3]);
        line
    };
    let all: Vec<Value> = (0..backends).map(|n| named(n, "ready")).collect();
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
    for n in 0..CHANGES {
        let state = if n % 2 == 0 { "draining" } else { "ready" };
        discovery.publish(false, &[named(n / 2, state)]);
    }
    let change_ms = (cpu_seconds(proxy.id())? - before) * 1e3 / CHANGES as f64;
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", proxy.id()))?.count();
    let peak = peak_kb(proxy.id())?;
    // All of them leave in one list: nothing is taken any more, and it says so.
    let departed: Vec<Value> = (0..backends).map(|n| named(n, "draining")).collect();
    discovery.publish(false, &departed);
    until("not ready", || proxy.ready() == 503);
    println!(
        "{proxies} proxies, {backends} backends: ready after {ready_ms:.0} ms, {served} of 400 served, peak {peak} KB, \
         {descriptors} descriptors, {change_ms:.2} ms CPU a change"
    );
    let held = served == 400
        && peak <= PEAK_KB
        && ready_ms <= READY_MS
        && change_ms <= CHANGE_MS
        && descriptors <= 192;
    Ok(json!({
        "proxies": proxies, "backends": backends, "ready_ms": round(ready_ms), "served_of_400": served,
        "peak_kb": peak, "descriptors": descriptors, "cpu_ms_a_change": round(change_ms), "held": held,
    }))
}

/// The measurement.
pub fn measure(seeds: u64, lanes: usize) -> io::Result<Value> {
    program::build("gaugesaddle")?;
    println!("sizes, with 32 MB and 192 descriptors told:");
    let sizes = SIZES.iter().map(|(p, b)| size(*p, *b)).collect::<io::Result<Vec<_>>>()?;
    println!("{PROXIES} proxies with an agent each, discovery lost and back, {seeds} seeds:");
    let scenarios: Vec<Scenario> = (0..seeds).map(lost_and_back).collect();
    let outcomes = play_all(&scenarios, lanes)?;
    let (mut drains, mut others, mut served) = (0, 0, Vec::new());
    for (s, outcome) in scenarios.iter().zip(&outcomes) {
        let verdict = &outcome.verdict;
        let of_drains = verdict.findings.iter().filter(|f| f.broken == Broken::Drain).count();
        drains += of_drains;
        others += verdict.findings.len() - of_drains;
        served.push(verdict.g);
        if !verdict.is_clean() {
            println!("seed {}:\n{verdict}", s.seed);
        }
    }
    let (mean, half) = interval(&served);
    let worst = served.iter().copied().fold(1.0, f64::min);
    println!("G {mean:.3} +- {half:.3}, worst {worst:.3}; {drains} drains broken, {others} other findings");
    let sound = sizes.iter().all(|s| s["held"] == true);
    let held = sound && drains == 0 && others == 0 && worst >= MIN_SERVICE;
    Ok(json!({
        "measure": "drains", "seeds": seeds, "drains_broken": drains, "other_findings": others,
        "g": round(mean), "g_half_width": round(half), "g_worst": round(worst), "g_bound": MIN_SERVICE,
        "sizes": sizes, "peak_kb_bound": PEAK_KB, "ready_ms_bound": READY_MS, "change_ms_bound": CHANGE_MS,
        "held": held,
    }))
}
