//! Measurements of gaugesaddle. Each prints its progress, and as its last line one JSON object with its figures and
//! whether they are within their bounds (`"held"`). The exit code is 0 if they are, 1 if not, and 2 if the measurement
//! failed. Durations are compared as ratios between alternating runs of one call, so that the speed of the machine
//! cancels out.

mod allocation;
mod bare;
mod drains;
mod fleet;
mod limits;
mod load;
mod proc;
mod region;
mod relay;
mod rig;
mod runs;
mod subsets;
mod tier;

use clap::{Parser, Subcommand};
use serde_json::Value;
use std::net::SocketAddr;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "gaugesaddle-measure", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// CPU per request, throughput of one core, added latency and memory of the proxy, compared with a bare relay
    /// without load balancing, on the same simulated nodes.
    Relay {
        /// Pairs of runs at the constant rate.
        #[arg(long, default_value_t = 5)]
        pairs: usize,
        /// Seconds of each run.
        #[arg(long, default_value_t = 6.0)]
        seconds: f64,
    },
    /// Learned limits compared with the plain relay, a constant limit of 4 and the best constant limit of each cell,
    /// over a grid of fleets (cores, wait times, variation of work, proxies, load) in virtual time.
    Limits {
        /// Seeds of each cell.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Seconds of each run.
        #[arg(long, default_value_t = 12.0)]
        seconds: f64,
        /// Only the cells whose names contain this.
        #[arg(long)]
        only: Option<String>,
        /// Also print each cell second by second.
        #[arg(long)]
        detail: bool,
    },
    /// Activity of a fleet of proxies in each second, summed over their logs (one *.log file per proxy, level info).
    Fleet {
        /// The folder of the logs.
        logs: std::path::PathBuf,
    },
    /// Failover to other regions, with two and three regions of real processes: service with and without it, the fault
    /// cases checked by the auditor, keys replaced under load, the CPU cost of forwarding.
    Region {
        /// Seeds of the loss of all zones of a region, each run with and without the other region.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Scenarios of the fault cases, ten cases in turn.
        #[arg(long, default_value_t = 100)]
        scenarios: u64,
        /// Key changes under load.
        #[arg(long, default_value_t = 50)]
        keys: u32,
        /// Concurrent runs; each uses about two cores.
        #[arg(long, default_value_t = 1)]
        lanes: usize,
    },
    /// Membership of the proxy tier: detection times of deaths, restarts and healed partitions, false deaths, cost, and
    /// a search over combinations of faults; with real processes, and in virtual time compared with the library foca.
    Tier {
        /// Kills in each of the tiers of 3, 10 and 30 processes.
        #[arg(long, default_value_t = 30)]
        kills: usize,
        /// Minutes of the runs without faults, idle and loaded.
        #[arg(long, default_value_t = 10.0)]
        minutes: f64,
        /// Seconds of the search.
        #[arg(long, default_value_t = 120.0)]
        hunt: f64,
        /// Pairs of runs with and without peers.
        #[arg(long, default_value_t = 5)]
        pairs: usize,
        /// Concurrent runs of the search.
        #[arg(long, default_value_t = 2)]
        lanes: usize,
    },
    /// Allocation by demand compared with even allocation: proxies killed, uneven traffic, growth under load.
    #[command(name = "shares")]
    Allocation {
        /// Seeds of each case.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Seeded combinations of faults.
        #[arg(long, default_value_t = 100)]
        scenarios: u64,
        /// Concurrent runs of the combinations.
        #[arg(long, default_value_t = 2)]
        lanes: usize,
        /// Concurrent runs of the cases.
        #[arg(long, default_value_t = 1)]
        beside: usize,
        /// Only the cases whose names contain this, without a verdict.
        #[arg(long)]
        only: Option<String>,
    },
    /// Drains: a tier whose discovery fails and returns during a deploy while most proxies are killed, and the
    /// resources that the largest lists and tiers need.
    Drains {
        /// Seeds of the tier.
        #[arg(long, default_value_t = 50)]
        seeds: u64,
        /// Concurrent runs; each uses about two cores.
        #[arg(long, default_value_t = 1)]
        lanes: usize,
    },
    /// CPU cost and lateness of the simulated clients and nodes themselves, as a baseline of the other measurements.
    Testbed,
    /// Runs the bare relay as a process; started by `relay`.
    #[command(hide = true)]
    Bare {
        /// The address to listen on.
        listen: SocketAddr,
        /// The nodes to forward to, round robin.
        nodes: Vec<SocketAddr>,
    },
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Relay { pairs, seconds } => relay::measure(pairs.max(1), seconds.max(1.0)),
        Command::Limits { seeds, seconds, only, detail } => {
            limits::measure(seeds.max(1), seconds.max(2.0), only.as_deref(), detail)
        }
        Command::Fleet { logs } => fleet::measure(&logs),
        Command::Region { seeds, scenarios, keys, lanes } => {
            region::measure(seeds, scenarios, keys, lanes.max(1))
        }
        Command::Tier { kills, minutes, hunt, pairs, lanes } => tier::measure(&tier::Extent {
            kills: kills.max(1),
            minutes: minutes.clamp(0.1, 60.0),
            hunt_s: hunt.clamp(1.0, 3600.0),
            pairs: pairs.max(1),
            lanes: lanes.clamp(1, 64),
        }),
        Command::Allocation { seeds, scenarios, lanes, beside, only } => {
            allocation::measure(&allocation::Extent {
                seeds: seeds.max(1),
                scenarios,
                lanes: lanes.clamp(1, 16),
                concurrent_cases: beside.clamp(1, 16),
                only,
            })
        }
        Command::Drains { seeds, lanes } => drains::measure(seeds, lanes.clamp(1, 16)),
        Command::Testbed => rig::measure(),
        Command::Bare { listen, nodes } => return bare::serve(listen, nodes),
    };
    match result {
        Ok(figures) => {
            println!("{figures}");
            match figures.get("held").and_then(Value::as_bool) {
                Some(true) => ExitCode::SUCCESS,
                _ => ExitCode::FAILURE,
            }
        }
        Err(e) => {
            eprintln!("gaugesaddle-measure: {e}");
            ExitCode::from(2)
        }
    }
}
