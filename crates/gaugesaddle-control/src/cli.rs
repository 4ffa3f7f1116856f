//! The command line.

use crate::operator::{self, Change, Target};
use crate::serve;
use clap::{Arg, ArgAction, ArgMatches, Command};
use gaugesaddle_config::operator::OperatorConfig;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// A call is given up after so long unless `--for` says otherwise, in seconds.
const PATIENCE: &str = "10";
/// Between two looks of `watch` unless `--every` says otherwise, in seconds.
const PERIOD: &str = "1";

fn file() -> Arg {
    Arg::new("FILE").required(true).value_parser(clap::value_parser!(PathBuf)).help("The document, in JSON")
}

fn at() -> Arg {
    Arg::new("at")
        .long("at")
        .value_name("ADDRESS")
        .required(true)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(clap::value_parser!(SocketAddrV4))
        .help("A control address; several are called in turn")
}

fn base() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("REVISION")
        .value_parser(clap::value_parser!(u64))
        .help("The revision that it builds on; by default the current one")
}

fn patience() -> Arg {
    Arg::new("for")
        .long("for")
        .value_name("SECONDS")
        .default_value(PATIENCE)
        .value_parser(clap::value_parser!(f64))
        .help("Time until a call without a clear answer is given up")
}

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("As JSON, for scripts")
}

fn command() -> Command {
    Command::new("gaugesaddle-control")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The control plane of a router fleet: configuration, registrations and their distribution")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("serve").about("Serve as the boot file says that GAUGESADDLE_BOOT names"))
        .subcommand(
            Command::new("check")
                .about("Check a configuration: exit 0 if a fleet would take it, 1 with every finding if not")
                .arg(file()),
        )
        .subcommand(
            Command::new("put")
                .about("Bring a configuration to a running fleet")
                .arg(file())
                .arg(at())
                .arg(patience())
                .arg(base()),
        )
        .subcommand(
            Command::new("patch")
                .about("Add, replace and remove named items of the configuration of a running fleet")
                .arg(file())
                .arg(at())
                .arg(patience())
                .arg(base())
                .arg(
                    Arg::new("dry-run")
                        .long("dry-run")
                        .action(ArgAction::SetTrue)
                        .help("Print the whole configuration that it makes; nothing is brought"),
                ),
        )
        .subcommand(Command::new("get").about("Print the configuration in force").arg(at()).arg(patience()))
        .subcommand(
            Command::new("watch")
                .about("Print a line for each new configuration")
                .arg(at())
                .arg(patience())
                .arg(json())
                .arg(
                    Arg::new("every")
                        .long("every")
                        .value_name("SECONDS")
                        .default_value(PERIOD)
                        .value_parser(clap::value_parser!(f64))
                        .help("Between two looks"),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("How control processes stand: role, term, voters, revision, backends, proxies")
                .arg(at().help("An address for processes: the machine, and the first of its free ports"))
                .arg(json()),
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
        Some(("put", arguments)) => put(arguments),
        Some(("patch", arguments)) => patch(arguments),
        Some(("get", arguments)) => get(arguments),
        Some(("watch", arguments)) => watch(arguments),
        Some(("status", arguments)) => status(arguments),
        _ => serve::run(),
    }
}

fn addresses(arguments: &ArgMatches) -> Vec<SocketAddrV4> {
    arguments.get_many("at").into_iter().flatten().copied().collect()
}

/// A span given in seconds; what cannot be one is none at all.
fn seconds(arguments: &ArgMatches, name: &str) -> Duration {
    let seconds = arguments.get_one::<f64>(name).copied().unwrap_or_default();
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

fn target(arguments: &ArgMatches) -> Target {
    Target { addresses: addresses(arguments), patience: seconds(arguments, "for") }
}

fn read(arguments: &ArgMatches) -> eyre::Result<(PathBuf, Vec<u8>)> {
    let path = arguments.get_one::<PathBuf>("FILE").cloned().unwrap_or_default();
    let document = std::fs::read(&path).map_err(|e| eyre::eyre!("{}: {e}", path.display()))?;
    Ok((path, document))
}

fn read_text(arguments: &ArgMatches) -> eyre::Result<String> {
    let (_, document) = read(arguments)?;
    Ok(String::from_utf8(document)?)
}

fn check(arguments: &ArgMatches) -> eyre::Result<()> {
    let (path, document) = read(arguments)?;
    let config = OperatorConfig::parse(&document)
        .map_err(|findings| eyre::eyre!("{}:\n{}", path.display(), findings.to_multiline()))?;
    println!("{}: good, revision {}", path.display(), config.revision);
    Ok(())
}

fn put(arguments: &ArgMatches) -> eyre::Result<()> {
    let text = read_text(arguments)?;
    order(arguments, Change::Full(&text))
}

fn patch(arguments: &ArgMatches) -> eyre::Result<()> {
    let text = read_text(arguments)?;
    if arguments.get_flag("dry-run") {
        let made = operator::preview(&target(arguments), &text, arguments.get_one("base").copied())?;
        println!("{made}");
        return Ok(());
    }
    order(arguments, Change::Patch(&text))
}

fn order(arguments: &ArgMatches, change: Change) -> eyre::Result<()> {
    let revision = operator::order(&target(arguments), change, arguments.get_one("base").copied())?;
    println!("revision {revision} is acknowledged");
    Ok(())
}

fn get(arguments: &ArgMatches) -> eyre::Result<()> {
    match operator::get(&target(arguments))? {
        Some(text) => println!("{text}"),
        None => eyre::bail!("no configuration yet"),
    }
    Ok(())
}

fn watch(arguments: &ArgMatches) -> eyre::Result<()> {
    let as_json = arguments.get_flag("json");
    operator::watch(&target(arguments), seconds(arguments, "every"), |revision, text| {
        if as_json {
            println!("{text}");
        } else {
            println!("revision {revision}, {} bytes", text.len());
        }
        true
    })
}

fn status(arguments: &ArgMatches) -> eyre::Result<()> {
    let mut failed = None;
    for address in addresses(arguments) {
        match operator::status(address) {
            Ok(report) if arguments.get_flag("json") => println!("{}", operator::report_json(&report)),
            Ok(report) => println!("{address}\n{}\n", operator::report_text(&report)),
            Err(e) => failed = Some(e),
        }
    }
    failed.map_or(Ok(()), Err)
}
