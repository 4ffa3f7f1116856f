//! The command line.

use crate::serve;
use clap::{Arg, ArgMatches, Command};
use gaugesaddle_config::operator::OperatorConfig;
use std::path::PathBuf;
use std::process::ExitCode;

fn command() -> Command {
    let file =
        Arg::new("FILE").required(true).value_parser(clap::value_parser!(PathBuf)).help("The document");
    Command::new("gaugesaddle-control")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The control plane of a router fleet: configuration, registrations and their distribution")
        .subcommand_required(true)
        .subcommand(Command::new("serve").about("Serve as the boot file says that GAUGESADDLE_BOOT names"))
        .subcommand(
            Command::new("check").about("Check a configuration: exit 0 if a fleet would take it").arg(file),
        )
}

/// Runs the program.
pub fn main() -> ExitCode {
    gaugesaddle_transport::log::start();
    match run(&command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("gaugesaddle-control: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(matches: &ArgMatches) -> eyre::Result<()> {
    match matches.subcommand() {
        Some(("check", arguments)) => check(arguments),
        _ => serve::run(),
    }
}

fn check(arguments: &ArgMatches) -> eyre::Result<()> {
    let Some(path) = arguments.get_one::<PathBuf>("FILE") else { return Ok(()) };
    let document = std::fs::read(path)?;
    let config = OperatorConfig::parse(&document)?;
    println!("{}: good, revision {}", path.display(), config.revision);
    Ok(())
}
