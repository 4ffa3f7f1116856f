//! The stand-ins' own cost: a scenario at the deployment's rate, with the CPU of this process beside that of the
//! proxies. Where the rig is late or busy, its own figures are read and not the proxy's.

use crate::load::{flat_out, steady, Nodes};
use crate::proc::own_cpu_seconds;
use gaugesaddle_testbed::scenario::Clients;
use gaugesaddle_testbed::{program, run, Event, Program, ProxyImplementation, Scenario};
use serde_json::{json, Value};
use std::io;

/// A scenario's stand-ins (one thread) may take this part of a core at the deployment's rate.
const CORE_BOUND: f64 = 0.5;
/// A stand-in client may ask so much later than planned, 99 in 100 times.
const LATE_BOUND_US: f64 = 5_000.0;
const PER_S: f64 = 290.0;
const SECONDS: f64 = 10.0;

/// The measurement.
pub fn measure() -> io::Result<Value> {
    println!("a scenario at {PER_S} requests a second for {SECONDS} s, nothing going wrong");
    let defaults = Scenario::default();
    let clients = Clients { per_s: PER_S, leaving: 0.0, ..defaults.clients.clone() };
    let s = Scenario { seconds: SECONDS, clients, ..defaults }.named("rig");
    let program = Program { path: program::build("gaugesaddle")?, arguments: Vec::new() };
    let before = own_cpu_seconds()?;
    let outcome = run(&s, &ProxyImplementation::Program(program), &mut |_| {})?;
    let cpu = own_cpu_seconds()? - before;
    let asked = outcome.records.iter().filter(|r| matches!(r.event, Event::RequestSent { .. })).count();
    let late = outcome.late_p99_us as f64;
    println!(
        "{asked} requests, {:.2} s CPU of the rig, {:.0} us each, p99 lateness {late:.0} us",
        cpu,
        cpu * 1e6 / asked as f64
    );
    print!("{}", outcome.verdict);
    println!("plain nodes and clients, without a proxy:");
    let nodes = Nodes::start(12)?;
    let before = own_cpu_seconds()?;
    let seen = steady(nodes.addresses[0], PER_S, 4.0)?;
    let plain = (own_cpu_seconds()? - before) * 1e6 / seen.latencies.len().max(1) as f64;
    let full = flat_out(nodes.addresses[0], 32, 3.0)?;
    println!(
        "{plain:.0} us CPU a request, p99 {:.0} us; flat out {:.0} a second",
        seen.quantile(0.99),
        full.rate()
    );
    let core = cpu / (SECONDS + 4.0);
    let held = core <= CORE_BOUND && late <= LATE_BOUND_US && outcome.verdict.is_clean();
    let round = |x: f64| (x * 1000.0).round() / 1000.0;
    Ok(json!({
        "measure": "testbed", "per_s": PER_S, "seconds": SECONDS, "requests": asked,
        "rig_cpu_us_per_request": round(cpu * 1e6 / asked.max(1) as f64),
        "rig_part_of_a_core": round(core), "rig_part_bound": CORE_BOUND,
        "rig_late_p99_us": round(late), "rig_late_bound_us": LATE_BOUND_US,
        "plain_cpu_us_per_request": round(plain), "plain_p99_us": round(seen.quantile(0.99)),
        "plain_flat_out_per_s": round(full.rate()),
        "g": round(outcome.verdict.g), "clean": outcome.verdict.is_clean(), "held": held,
    }))
}
