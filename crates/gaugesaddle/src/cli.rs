//! The command line.

use crate::error::Error;
use crate::operator::{self, Operator};
use crate::{app, region, state};
use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

/// A load-balancing HTTP/1.1 proxy. Without a command it serves; the platform tells it how in the JSON file that
/// BALANCER_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "gaugesaddle", version)]
struct Arguments {
    /// The operator's file (TOML); without one every default holds.
    #[arg(long, value_name = "FILE", env = "GAUGESADDLE_CONFIG", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check an operator's file: exit 0 if a proxy would take it, 1 if not.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Print the state of a running proxy: its requests, backends, connections and reasons.
    State {
        /// Only that part, `regions`.
        part: Option<Part>,
        /// Its socket; by default `state.socket` of the operator's file.
        #[arg(long, value_name = "PATH")]
        socket: Option<PathBuf>,
        /// As one JSON document.
        #[arg(long)]
        json: bool,
    },
}

/// A part of the state.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Part {
    /// Other regions.
    Regions,
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
    let operator = || file.as_deref().map_or(Ok(Operator::default()), operator::load);
    match arguments.command {
        None => app::run(file.clone(), operator()?),
        Some(Command::Check { file }) => {
            region::check(&operator::load(&file)?.region)?;
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
            let state = state::ask(&socket)?;
            if let Some(Part::Regions) = part {
                let view = state.region.as_ref().ok_or(Error::Usage("this proxy has no other regions"))?;
                match json {
                    true => println!("{}", serde_json::to_string_pretty(view).unwrap_or_default()),
                    false => print!("{}", state::render_regions(view, state.time_us)),
                }
            } else if json {
                println!("{}", serde_json::to_string_pretty(&state).unwrap_or_default());
            } else {
                print!("{}", state::render(&state));
            }
            Ok(())
        }
    }
}
