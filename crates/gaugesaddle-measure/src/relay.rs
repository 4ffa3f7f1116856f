//! The proxy compared with the bare relay, on the same nodes and clients, in alternating runs.

use crate::load::{run_at_max_rate, run_at_rate, LoadResults, Nodes};
use crate::proc::{cpu_seconds, peak_kb};
use gaugesaddle_testbed::scripted::free_address;
use gaugesaddle_testbed::{program, Scenario};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Request rate of the deployment, in requests per second.
const PER_S: f64 = 290.0;
/// Number of nodes of the deployment.
const NODES: usize = 12;
/// Maximum CPU per request of the proxy, relative to the bare relay, at the rate of the deployment.
const MAX_CPU_RATIO: f64 = 1.6;
/// Connections of the throughput runs: enough to keep the core busy between the balancer's ticks, every 4 ms.
const MAX_RATE_CONNECTIONS: usize = 256;

/// A process under measurement; killed when dropped.
struct Running {
    child: Child,
    address: SocketAddr,
    file: Option<PathBuf>,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(file) = &self.file {
            let _ = std::fs::remove_file(file);
        }
    }
}

fn wait_for_listener(address: SocketAddr) -> io::Result<()> {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        if std::net::TcpStream::connect(address).is_ok() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Err(io::Error::other(format!("waiting for a listener: no connection to {address} within 10 s")))
}

/// A command that pins the process to a core by `taskset` if one is given.
fn command(program: &std::path::Path, core: Option<usize>) -> Command {
    match core {
        Some(core) => {
            let mut command = Command::new("taskset");
            command.args(["-c", &core.to_string()]).arg(program);
            command
        }
        None => Command::new(program),
    }
}

fn start_bare_relay(nodes: &Nodes, core: Option<usize>) -> io::Result<Running> {
    let address = free_address();
    let mut command = command(&std::env::current_exe()?, core);
    command.arg("bare").arg(address.to_string()).args(nodes.addresses.iter().map(SocketAddr::to_string));
    let child = command.stdin(Stdio::null()).spawn()?;
    let running = Running { child, address, file: None };
    wait_for_listener(address)?;
    Ok(running)
}

fn start_proxy(nodes: &Nodes, core: Option<usize>, program: &std::path::Path) -> io::Result<Running> {
    let address = free_address();
    let mut s = Scenario { proxies: 1, zones: 1, ..Scenario::default() };
    s.classes.truncate(2);
    let endpoint = |(i, node): (usize, &SocketAddr)| {
        json!({"name": format!("n{i}"), "address": node.to_string(), "zone": "hall-0", "type": "plain", "group": 1,
               "status": "ready", "weight": 1.0, "since_ms": 0})
    };
    let endpoints: Vec<Value> = nodes.addresses.iter().enumerate().map(endpoint).collect();
    let config = json!({
        "name": "m0", "listen": address.to_string(), "discovery": free_address().to_string(),
        "seed": "2a", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": true, "endpoints": endpoints}, "settings": s.settings(0),
    });
    let file = std::env::temp_dir().join(format!("gaugesaddle-measure-{}.json", std::process::id()));
    std::fs::write(&file, config.to_string())?;
    let mut command = command(program, core);
    command.env("BALANCER_CONFIG", &file).env_remove("GAUGESADDLE_CONFIG").env("GAUGESADDLE_LOG", "error");
    let child = command.stdin(Stdio::null()).spawn()?;
    let running = Running { child, address, file: Some(file) };
    wait_for_listener(address)?;
    Ok(running)
}

/// Runs a load; returns the clients' results, CPU microseconds per request, and peak memory in kB.
fn measure_run(
    running: &Running, load: impl FnOnce(SocketAddr) -> io::Result<LoadResults>,
) -> io::Result<(LoadResults, f64, u64)> {
    let pid = running.child.id();
    // Warms up connections, pools and estimates before the measurement.
    run_at_rate(running.address, PER_S, 1.0)?;
    let before = cpu_seconds(pid)?;
    let results = load(running.address)?;
    let cpu = (cpu_seconds(pid)? - before) * 1e6 / results.latencies.len().max(1) as f64;
    let peak = peak_kb(pid)?;
    Ok((results, cpu, peak))
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Runs the measurement.
pub fn measure(pairs: usize, seconds: f64) -> io::Result<Value> {
    let program = program::build("gaugesaddle")?;
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    // The process under measurement has the last core to itself; clients and nodes use the others.
    let core = (cores > 1 && Command::new("taskset").arg("-V").output().is_ok()).then(|| cores - 1);
    let nodes = Nodes::start(NODES)?;
    println!("{NODES} nodes that respond at once, {PER_S} requests a second for {seconds} s, {pairs} pairs, core {core:?}");
    let (mut cpu, mut p50, mut p99, mut peak) =
        ([vec![], vec![]], [vec![], vec![]], [vec![], vec![]], [0, 0]);
    let (mut failed, mut direct) = (0, vec![]);
    let (mut sent, mut served) = ([0u64, 0], [0u64, 0]);
    for pair in 0..pairs {
        let results = run_at_rate(nodes.addresses[0], PER_S, seconds / 2.0)?;
        direct.push((results.quantile(0.5), results.quantile(0.99)));
        // The order alternates, to cancel out drift.
        for which in if pair % 2 == 0 { [0, 1] } else { [1, 0] } {
            let running = if which == 0 {
                start_bare_relay(&nodes, core)?
            } else {
                start_proxy(&nodes, core, &program)?
            };
            let before = nodes.answered.load(Ordering::Relaxed);
            let (results, us, kb) = measure_run(&running, |to| run_at_rate(to, PER_S, seconds))?;
            sent[which] += nodes.answered.load(Ordering::Relaxed) - before;
            served[which] += results.latencies.len() as u64 + PER_S as u64;
            let name = ["bare relay", "gaugesaddle"][which];
            println!(
                "{name:<12} {us:7.1} us CPU a request, p50 {:6.0} us, p99 {:6.0} us, {} not served, peak {kb} kB",
                results.quantile(0.5),
                results.quantile(0.99),
                results.failed
            );
            failed += results.failed;
            cpu[which].push(us);
            p50[which].push(results.quantile(0.5));
            p99[which].push(results.quantile(0.99));
            peak[which] = peak[which].max(kb);
        }
    }
    println!("closed loop, {MAX_RATE_CONNECTIONS} connections:");
    let (mut rates, mut full_cpu) = ([0.0, 0.0], [0.0, 0.0]);
    for round in 0..2 {
        for which in if round == 0 { [0, 1] } else { [1, 0] } {
            let running = if which == 0 {
                start_bare_relay(&nodes, core)?
            } else {
                start_proxy(&nodes, core, &program)?
            };
            let (results, us, _) =
                measure_run(&running, |to| run_at_max_rate(to, MAX_RATE_CONNECTIONS, seconds / 2.0))?;
            println!(
                "{:<12} {:7.0} a second, {us:.1} us CPU a request",
                ["bare relay", "gaugesaddle"][which],
                results.rate()
            );
            rates[which] += results.rate() / 2.0;
            full_cpu[which] += us / 2.0;
        }
    }
    let ratio = mean(&cpu[1]) / mean(&cpu[0]);
    let direct50 = mean(&direct.iter().map(|d| d.0).collect::<Vec<_>>());
    let direct99 = mean(&direct.iter().map(|d| d.1).collect::<Vec<_>>());
    let round = |x: f64| (x * 1000.0).round() / 1000.0;
    Ok(json!({
        "measure": "relay", "nodes": NODES, "per_s": PER_S, "pairs": pairs, "seconds": seconds,
        "cpu_us_per_request": {"bare": round(mean(&cpu[0])), "gaugesaddle": round(mean(&cpu[1]))},
        "cpu_ratio": round(ratio), "cpu_ratio_bound": MAX_CPU_RATIO,
        "added_p50_us": {"bare": round(mean(&p50[0]) - direct50), "gaugesaddle": round(mean(&p50[1]) - direct50)},
        "added_p99_us": {"bare": round(mean(&p99[0]) - direct99), "gaugesaddle": round(mean(&p99[1]) - direct99)},
        "one_core_per_s": {"bare": round(rates[0]), "gaugesaddle": round(rates[1])},
        "one_core_ratio": round(rates[1] / rates[0].max(1e-9)),
        "one_core_cpu_ratio": round(full_cpu[1] / full_cpu[0].max(1e-9)),
        "peak_kb": {"bare": peak[0], "gaugesaddle": peak[1]},
        "attempts_per_request": {"bare": round(sent[0] as f64 / served[0].max(1) as f64),
                                 "gaugesaddle": round(sent[1] as f64 / served[1].max(1) as f64)},
        "not_served": failed,
        "held": ratio <= MAX_CPU_RATIO && failed == 0,
    }))
}
