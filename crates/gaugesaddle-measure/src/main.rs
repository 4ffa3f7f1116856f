//! Measurements of gaugesaddle. Each prints what it does, then as its last line one JSON object with its figures and
//! whether they hold their bounds (`"held"`); the exit code is 0 where they do, 1 where not, 2 where it could not
//! measure. Figures in time are ratios within one call, from runs that alternate: a machine's speed drops out.

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
    /// CPU a request, throughput of one core, added latency and memory of the proxy, against a bare relay that
    /// decides nothing, on the same stand-ins.
    Relay {
        /// Pairs of runs at the steady rate.
        #[arg(long, default_value_t = 5)]
        pairs: usize,
        /// Seconds a run.
        #[arg(long, default_value_t = 6.0)]
        seconds: f64,
    },
    /// Learned limits against the plain relay, the constant of 4 and the best constant of each cell, over a grid of
    /// fleets (cores, waits, spread of work, proxies, load) in virtual time.
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
        /// Show each cell second by second, too.
        #[arg(long)]
        detail: bool,
    },
    /// What a fleet of proxies did in each second, counted over their own logs (one *.log file each, level info).
    Fleet {
        /// The folder of the logs.
        logs: std::path::PathBuf,
    },
    /// Another region as last resort, two and three regions of real processes: worth with and without it, the hard cases
    /// under the auditor, keys replaced under load, the price of a hop.
    Region {
        /// Seeds with the halls of a region lost, each with and without the other.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Scenarios of the hard cases, ten cases by turns.
        #[arg(long, default_value_t = 100)]
        scenarios: u64,
        /// Changes of keys under load.
        #[arg(long, default_value_t = 50)]
        keys: u32,
        /// Runs side by side; each takes about two cores.
        #[arg(long, default_value_t = 1)]
        lanes: usize,
    },
    /// Proxies that know one another: times to know of deaths, returns and heals, false deaths, what it costs, a hunt for
    /// combinations of faults; as processes, and in virtual time beside the library foca.
    Tier {
        /// Kills in each tier of 3, 10 and 30 processes.
        #[arg(long, default_value_t = 30)]
        kills: usize,
        /// Minutes in which nobody dies, idle and loaded.
        #[arg(long, default_value_t = 10.0)]
        minutes: f64,
        /// Seconds of the hunt.
        #[arg(long, default_value_t = 120.0)]
        hunt: f64,
        /// Pairs of runs with and without peers.
        #[arg(long, default_value_t = 5)]
        pairs: usize,
        /// Runs of the hunt side by side.
        #[arg(long, default_value_t = 2)]
        lanes: usize,
    },
    /// Parts by need beside even parts of the told number: proxies killed, uneven traffic, growth under load.
    #[command(name = "shares")]
    Allocation {
        /// Seeds of each case.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Seeded combinations of faults.
        #[arg(long, default_value_t = 100)]
        scenarios: u64,
        /// Of these so many side by side.
        #[arg(long, default_value_t = 2)]
        lanes: usize,
        /// Of the cases so many side by side.
        #[arg(long, default_value_t = 1)]
        beside: usize,
        /// Only cases whose names hold this, without a verdict.
        #[arg(long)]
        only: Option<String>,
    },
    /// Told is told: a tier whose discovery is lost and comes back into a release with most proxies killed, and what the
    /// largest lists and tiers take.
    Drains {
        /// Seeds of the tier.
        #[arg(long, default_value_t = 50)]
        seeds: u64,
        /// Of these so many side by side; each takes about two cores.
        #[arg(long, default_value_t = 1)]
        lanes: usize,
    },
    /// The cost of the stand-ins themselves: what no other measurement may mistake for the proxy's.
    Testbed,
    /// The bare relay itself, as a process of its own; `relay` starts it.
    #[command(hide = true)]
    Bare {
        /// Where it listens.
        listen: SocketAddr,
        /// The nodes that it passes on to, in turn.
        nodes: Vec<SocketAddr>,
    },
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
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
                beside: beside.clamp(1, 16),
                only,
            })
        }
        Command::Drains { seeds, lanes } => drains::measure(seeds, lanes.clamp(1, 16)),
        Command::Testbed => rig::measure(),
        Command::Bare { listen, nodes } => return bare::serve(listen, nodes),
    };
    match done {
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
