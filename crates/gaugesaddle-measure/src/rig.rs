//! The cost of the test bed's simulated clients and nodes: a scenario at the rate of the deployment, measuring the CPU
//! time of this process. If the test bed is late or busy, measured latencies are its own and not the proxy's.

use crate::load::{run_at_max_rate, run_at_rate, Nodes};
use crate::proc::own_cpu_seconds;
use gaugesaddle_testbed::scenario::Clients;
use gaugesaddle_testbed::{program, run, Event, Program, ProxyImplementation, Scenario};
use serde_json::{json, Value};
use std::io;

/// Maximum fraction of a core used by a scenario's clients and nodes (one thread) at the rate of the deployment.
const MAX_CORE_FRACTION: f64 = 0.5;
/// Maximum 99th percentile of a simulated client's lateness in sending a request, in microseconds.
const MAX_LATENESS_US: f64 = 5_000.0;
const PER_S: f64 = 290.0;
const SECONDS: f64 = 10.0;

/// Runs the measurement.
pub fn measure() -> io::Result<Value> {
    println!("a scenario at {PER_S} requests a second for {SECONDS} s, without faults");
    let defaults = Scenario::default();
    let clients = Clients { per_s: PER_S, leaving: 0.0, ..defaults.clients.clone() };
    let s = Scenario { seconds: SECONDS, clients, ..defaults }.named("rig");
    let program = Program { path: program::build("gaugesaddle")?, arguments: Vec::new() };
    let before = own_cpu_seconds()?;
    let outcome = run(&s, &ProxyImplementation::Program(program), &mut |_| {})?;
    let cpu = own_cpu_seconds()? - before;
    let requests = outcome.records.iter().filter(|r| matches!(r.event, Event::RequestSent { .. })).count();
    let late_p99_us = outcome.late_p99_us as f64;
    println!(
        "{requests} requests, {:.2} s CPU of the test bed, {:.0} us each, p99 lateness {late_p99_us:.0} us",
        cpu,
        cpu * 1e6 / requests as f64
    );
    print!("{}", outcome.verdict);
    println!("nodes and clients of this program, without a proxy:");
    let nodes = Nodes::start(12)?;
    let before = own_cpu_seconds()?;
    let results = run_at_rate(nodes.addresses[0], PER_S, 4.0)?;
    let plain_cpu_us = (own_cpu_seconds()? - before) * 1e6 / results.latencies.len().max(1) as f64;
    let max_throughput = run_at_max_rate(nodes.addresses[0], 32, 3.0)?;
    println!(
        "{plain_cpu_us:.0} us CPU a request, p99 {:.0} us; maximum throughput {:.0} a second",
        results.quantile(0.99),
        max_throughput.rate()
    );
    let core_fraction = cpu / (SECONDS + 4.0);
    let within_bounds =
        core_fraction <= MAX_CORE_FRACTION && late_p99_us <= MAX_LATENESS_US && outcome.verdict.is_clean();
    let round = |x: f64| (x * 1000.0).round() / 1000.0;
    Ok(json!({
        "measure": "testbed", "per_s": PER_S, "seconds": SECONDS, "requests": requests,
        "rig_cpu_us_per_request": round(cpu * 1e6 / requests.max(1) as f64),
        "rig_part_of_a_core": round(core_fraction), "rig_part_bound": MAX_CORE_FRACTION,
        "rig_late_p99_us": round(late_p99_us), "rig_late_bound_us": MAX_LATENESS_US,
        "plain_cpu_us_per_request": round(plain_cpu_us), "plain_p99_us": round(results.quantile(0.99)),
        "plain_flat_out_per_s": round(max_throughput.rate()),
        "g": round(outcome.verdict.g), "clean": outcome.verdict.is_clean(), "held": within_bounds,
    }))
}
