//! The command line.

use crate::application;
use crate::configuration::operator::{self, OperatorConfig};
use crate::error::Error;
use crate::federation;
use crate::operations::{state_socket, state_text};
use clap::{Parser, Subcommand, ValueEnum};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;

/// A load-balancing HTTP/1.1 proxy. Without a command it serves requests, configured by the platform's JSON file that
/// BALANCER_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "gaugesaddle", version)]
struct Arguments {
    /// The operator's configuration file (TOML); without one the defaults apply.
    #[arg(long, value_name = "FILE", env = "GAUGESADDLE_CONFIG", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check an operator's configuration file: exits with 0 if it is valid, with 1 if not.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Serve as the data plane of a router fleet, configured by the boot file that GAUGESADDLE_BOOT names.
    Edge {
        /// A parameter of backend selection, for measurements, as KEY=VALUE; may be repeated.
        #[arg(long = "set", value_name = "KEY=VALUE")]
        settings: Vec<String>,
    },
    /// Print the state of a running proxy: its requests, backends, connections and event counters.
    State {
        /// Print only this section.
        part: Option<StateSection>,
        /// The proxy's state socket; by default `state.socket` of the operator's file.
        #[arg(long, value_name = "PATH")]
        socket: Option<PathBuf>,
        /// Print one JSON document.
        #[arg(long)]
        json: bool,
    },
}

/// A section of the state. The names of its values are part of the command line.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum StateSection {
    /// Other regions.
    Regions,
    /// The other proxies of the tier.
    Peers,
    /// This proxy's allocation among the proxies of the tier.
    #[value(name = "shares")]
    Allocation,
    /// The state of zones as the proxies of the tier evaluate it together.
    Zones,
}

/// Runs the program.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("gaugesaddle: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: Arguments) -> Result<(), Error> {
    let file = arguments.config.filter(|f| !f.as_os_str().is_empty());
    let operator = || file.as_deref().map_or(Ok(OperatorConfig::default()), operator::load);
    match arguments.command {
        None => application::run(file.clone(), operator()?),
        Some(Command::Edge { settings }) => {
            gaugesaddle_edge::run(&settings).map_err(|e| Error::Edge(format!("{e:#}")))
        }
        Some(Command::Check { file }) => {
            let operator = operator::load(&file)?;
            federation::check(&operator.region)?;
            if operator.peers.enabled {
                operator.peers.secret()?;
            }
            println!("{}: good", file.display());
            Ok(())
        }
        Some(Command::State { part, socket, json }) => {
            let socket = match socket {
                Some(socket) => socket,
                None => operator()?.state.socket.ok_or(Error::Usage(
                    "state.socket: missing, expected --socket PATH or an operator's file that sets it",
                ))?,
            };
            let state = state_socket::request(&socket)?;
            let now = state.time_us;
            match part {
                Some(StateSection::Regions) => {
                    let view = state.region.as_ref().ok_or(Error::Usage(
                        "the state has no section `regions`: federation is disabled on this proxy",
                    ))?;
                    print(json, view, || state_text::render_regions(view, now));
                }
                Some(StateSection::Peers) => {
                    let view = state.peers.as_ref().ok_or(Error::Usage(
                        "the state has no section `peers`: membership is disabled on this proxy",
                    ))?;
                    print(json, view, || state_text::render_peers(view, now));
                }
                Some(StateSection::Allocation) => {
                    let view = state.shares.as_ref().ok_or(Error::Usage(
                        "the state has no section `shares`: allocation by demand is disabled on this proxy",
                    ))?;
                    print(json, view, || state_text::render_shares(view));
                }
                Some(StateSection::Zones) => {
                    let view = state.zones.as_ref().ok_or(Error::Usage(
                        "the state has no section `zones`: zone failover is disabled on this proxy",
                    ))?;
                    print(json, view, || state_text::render_zones(view));
                }
                None => print(json, &state, || state_text::render(&state)),
            }
            Ok(())
        }
    }
}

fn print<T: Serialize>(json: bool, document: &T, table: impl Fn() -> String) {
    if json {
        println!("{}", serde_json::to_string_pretty(document).unwrap_or_default());
    } else {
        print!("{}", table());
    }
}
