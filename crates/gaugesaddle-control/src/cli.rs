//! The command line.

use crate::operator_client::{self, Change, Endpoints};
use crate::serve;
use clap::{Arg, ArgAction, ArgMatches, Command};
use gaugesaddle_config::operator::OperatorConfig;
use std::net::SocketAddrV4;
use std::ops::ControlFlow;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Default of `--for`, in seconds.
const DEFAULT_TIMEOUT_S: &str = "10";
/// Default of `--every`, in seconds.
const DEFAULT_INTERVAL_S: &str = "1";

fn file_argument() -> Arg {
    Arg::new("FILE").required(true).value_parser(clap::value_parser!(PathBuf)).help("The document, in JSON")
}

fn address_option() -> Arg {
    Arg::new("at")
        .long("at")
        .value_name("ADDRESS")
        .required(true)
        .action(ArgAction::Append)
        .value_delimiter(',')
        .value_parser(clap::value_parser!(SocketAddrV4))
        .help("A control address; several are called in turn")
}

fn base_option() -> Arg {
    Arg::new("base")
        .long("base")
        .value_name("REVISION")
        .value_parser(clap::value_parser!(u64))
        .help("The revision that the change is based on; by default the current one")
}

fn timeout_option() -> Arg {
    Arg::new("for")
        .long("for")
        .value_name("SECONDS")
        .default_value(DEFAULT_TIMEOUT_S)
        .value_parser(clap::value_parser!(f64))
        .help("Time after which a call without a conclusive response is not retried")
}

fn json_option() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("As JSON, for scripts")
}

fn command() -> Command {
    Command::new("gaugesaddle-control")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The control plane of a router fleet: configuration, registrations and their distribution")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("serve").about("Serve, with the boot file that GAUGESADDLE_BOOT names"))
        .subcommand(
            Command::new("check")
                .about(
                    "Check a configuration: exit 0 if a fleet would accept it, 1 with every finding if not",
                )
                .arg(file_argument()),
        )
        .subcommand(
            Command::new("put")
                .about("Put a configuration in force in a running fleet")
                .arg(file_argument())
                .arg(address_option())
                .arg(timeout_option())
                .arg(base_option()),
        )
        .subcommand(
            Command::new("patch")
                .about("Add, replace and remove named items of the configuration of a running fleet")
                .arg(file_argument())
                .arg(address_option())
                .arg(timeout_option())
                .arg(base_option())
                .arg(
                    Arg::new("dry-run")
                        .long("dry-run")
                        .action(ArgAction::SetTrue)
                        .help("Print the resulting configuration without putting it in force"),
                ),
        )
        .subcommand(
            Command::new("get")
                .about("Print the configuration in force")
                .arg(address_option())
                .arg(timeout_option()),
        )
        .subcommand(
            Command::new("watch")
                .about("Print a line for each new configuration")
                .arg(address_option())
                .arg(timeout_option())
                .arg(json_option())
                .arg(
                    Arg::new("every")
                        .long("every")
                        .value_name("SECONDS")
                        .default_value(DEFAULT_INTERVAL_S)
                        .value_parser(clap::value_parser!(f64))
                        .help("Interval between reads"),
                ),
        )
        .subcommand(
            Command::new("status")
                .about("Status of control processes: role, term, voters, revision, backends, proxies")
                .arg(address_option().help(
                    "The internal address of a control process: its machine and the first port of ephemeralPorts",
                ))
                .arg(json_option()),
        )
}

/// Runs the program; exit code 0 on success, 1 on any error, 2 (by clap) on a malformed command line.
pub fn main() -> ExitCode {
    gaugesaddle_transport::log::set_level_from_environment();
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

/// A duration given in seconds; zero if the value is not a valid duration.
fn duration(arguments: &ArgMatches, name: &str) -> Duration {
    let seconds = arguments.get_one::<f64>(name).copied().unwrap_or_default();
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

fn endpoints(arguments: &ArgMatches) -> Endpoints {
    Endpoints { addresses: addresses(arguments), timeout: duration(arguments, "for") }
}

fn read_file(arguments: &ArgMatches) -> eyre::Result<(PathBuf, Vec<u8>)> {
    let path = arguments.get_one::<PathBuf>("FILE").cloned().unwrap_or_default();
    let document = std::fs::read(&path).map_err(|e| eyre::eyre!("{}: {e}", path.display()))?;
    Ok((path, document))
}

fn read_text(arguments: &ArgMatches) -> eyre::Result<String> {
    let (_, document) = read_file(arguments)?;
    Ok(String::from_utf8(document)?)
}

fn check(arguments: &ArgMatches) -> eyre::Result<()> {
    let (path, document) = read_file(arguments)?;
    let config = OperatorConfig::parse(&document)
        .map_err(|findings| eyre::eyre!("{}:\n{}", path.display(), findings.to_multiline()))?;
    for warning in config.warnings() {
        println!("{}: warning: {warning}", path.display());
    }
    println!("{}: good, revision {}", path.display(), config.revision);
    Ok(())
}

fn put(arguments: &ArgMatches) -> eyre::Result<()> {
    let text = read_text(arguments)?;
    submit(arguments, Change::Full(&text))
}

fn patch(arguments: &ArgMatches) -> eyre::Result<()> {
    let text = read_text(arguments)?;
    if arguments.get_flag("dry-run") {
        let document =
            operator_client::preview(&endpoints(arguments), &text, arguments.get_one("base").copied())?;
        println!("{document}");
        return Ok(());
    }
    submit(arguments, Change::Patch(&text))
}

fn submit(arguments: &ArgMatches, change: Change) -> eyre::Result<()> {
    let revision =
        operator_client::submit(&endpoints(arguments), change, arguments.get_one("base").copied())?;
    println!("revision {revision} is acknowledged");
    Ok(())
}

fn get(arguments: &ArgMatches) -> eyre::Result<()> {
    match operator_client::get(&endpoints(arguments))? {
        Some(text) => println!("{text}"),
        None => eyre::bail!("no configuration yet"),
    }
    Ok(())
}

fn watch(arguments: &ArgMatches) -> eyre::Result<()> {
    let as_json = arguments.get_flag("json");
    operator_client::watch(&endpoints(arguments), duration(arguments, "every"), |revision, text| {
        if as_json {
            println!("{text}");
        } else {
            println!("revision {revision}, {} bytes", text.len());
        }
        ControlFlow::Continue(())
    })
}

fn status(arguments: &ArgMatches) -> eyre::Result<()> {
    let mut last_error = None;
    for address in addresses(arguments) {
        match operator_client::status(address) {
            Ok(report) => {
                // A process of an earlier build closes the connection instead of replying.
                let distribution = operator_client::distribution(address).ok();
                if arguments.get_flag("json") {
                    println!("{}", operator_client::status_json(&report, distribution.as_ref()));
                } else {
                    println!("{address}\n{}\n", operator_client::status_text(&report, distribution.as_ref()));
                }
            }
            Err(e) => last_error = Some(e),
        }
    }
    last_error.map_or(Ok(()), Err)
}
