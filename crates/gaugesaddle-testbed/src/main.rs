//! The command line of the testbed: the local demo, scenarios from files, and the audit of the records of an earlier
//! run.

mod demo;
mod fleet_demo;

use clap::{Parser, Subcommand};
use gaugesaddle_testbed::{
    audit, hunt, program, run, Fault, Outcome, Program, ProxyImplementation, Record, Scenario,
};
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs a fleet of gaugesaddle proxies and stand-in nodes on loopback, and audits the four rules.
#[derive(Parser)]
#[command(name = "gaugesaddle-testbed", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run three proxies, twelve nodes in three zones and their clients; some of them are killed, drained and slowed.
    /// Prints a live table and then the verdict of the audit. Exit 0 if the rules were kept, 1 if not.
    Demo {
        /// Seed of everything random.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Duration in seconds.
        #[arg(long, default_value_t = 24.0, value_parser = seconds)]
        seconds: f64,
        /// Print plain lines, also on a terminal.
        #[arg(long)]
        plain: bool,
    },
    /// Run a small router fleet: three control processes, two proxies, four streaming backends, an operator and
    /// clients; a control process is killed, a backend drains, the configuration changes. Exit 0 if every stream was
    /// complete.
    Fleet {
        /// Duration in seconds.
        #[arg(long, default_value_t = 12.0, value_parser = seconds)]
        seconds: f64,
    },
    /// Run a scenario from a TOML file. Exit 0 if the rules were kept, 1 if not.
    Run {
        /// The scenario; `example` prints one with every key.
        file: PathBuf,
        /// Seed that overrides the one of the file.
        #[arg(long)]
        seed: Option<u64>,
        /// Write the records to this file, one JSON object a line.
        #[arg(long, value_name = "FILE")]
        records: Option<PathBuf>,
        /// Print the last lines of the proxies' logs.
        #[arg(long)]
        logs: bool,
        /// The operator's file of the proxies.
        #[arg(long, value_name = "FILE", conflicts_with = "fault")]
        config: Option<PathBuf>,
        /// Run a relay with this fault in place of the proxies, to test the audit: drops, closes-after-sending,
        /// answers-twice, answers-late, mixes-up, sends-after-answer, repeats, refuses-after-run, ignores-drains,
        /// floods-newest, none.
        #[arg(long, value_parser = fault)]
        fault: Option<Fault>,
    },
    /// Draw combinations of faults on tiers of 6 to 30 proxies, run them concurrently, and save the fewest faults that
    /// still break a rule as a scenario for `run`. Exit 0 if nothing was found, 1 if a rule was broken.
    Hunt {
        /// Seed of everything random.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Time in seconds after which no new run begins.
        #[arg(long, default_value_t = 120.0, value_parser = seconds)]
        seconds: f64,
        /// Number of concurrent runs; each takes about a core.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=64))]
        lanes: u8,
        /// Folder in which findings are saved.
        #[arg(long, default_value = ".")]
        into: PathBuf,
    },
    /// Audit the records that `run --records` has written.
    Audit {
        /// The scenario of the run.
        scenario: PathBuf,
        /// The records.
        records: PathBuf,
    },
    /// Print the default scenario, with every key.
    Example,
}

/// The reason why an argument is invalid.
#[derive(Debug, thiserror::Error)]
enum ArgumentError {
    #[error("expected a number of seconds")]
    NoNumber,
    #[error("expected 5 to 3600 seconds")]
    OutOfRange,
    #[error("expected one of {0}")]
    UnknownFault(String),
}

fn seconds(text: &str) -> Result<f64, ArgumentError> {
    let value: f64 = text.parse().map_err(|_| ArgumentError::NoNumber)?;
    if (5.0..=3600.0).contains(&value) {
        Ok(value)
    } else {
        Err(ArgumentError::OutOfRange)
    }
}

fn fault(text: &str) -> Result<Fault, ArgumentError> {
    let all = [
        ("none", Fault::None),
        ("drops", Fault::Drops),
        ("closes-after-sending", Fault::ClosesAfterSending),
        ("answers-twice", Fault::AnswersTwice),
        ("answers-late", Fault::AnswersLate),
        ("mixes-up", Fault::MixesUp),
        ("sends-after-answer", Fault::SendsAfterAnswer),
        ("repeats", Fault::Repeats),
        ("refuses-after-run", Fault::RefusesAfterRun),
        ("ignores-drains", Fault::IgnoresDrains),
        ("floods-newest", Fault::FloodsNewest),
    ];
    let names: Vec<&str> = all.iter().map(|f| f.0).collect();
    let found = all.iter().find(|f| f.0 == text);
    found.map(|f| f.1).ok_or_else(|| ArgumentError::UnknownFault(names.join(", ")))
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Demo { seed, seconds, plain } => demo::demo(seed, seconds, plain),
        Command::Run { file, seed, records, logs, config, fault } => {
            let cast = match fault {
                Some(fault) => Ok(ProxyImplementation::Faulty(fault)),
                None => program::build("gaugesaddle").map(|path| {
                    let config = config.iter().flat_map(|c| ["--config".into(), c.display().to_string()]);
                    ProxyImplementation::Program(Program { path, arguments: config.collect() })
                }),
            };
            cast.and_then(|cast| play(&file, seed, records.as_deref(), logs, &cast))
        }
        Command::Fleet { seconds } => fleet_demo::play(seconds),
        Command::Hunt { seed, seconds, lanes, into } => hunt(seed, seconds, lanes, &into),
        Command::Audit { scenario, records } => audit_records(&scenario, &records),
        Command::Example => example(),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("gaugesaddle-testbed: {e}");
            ExitCode::from(2)
        }
    }
}

fn scenario(file: &Path) -> io::Result<Scenario> {
    let named = |e: &dyn std::fmt::Display| io::Error::other(format!("{}: {e}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| named(&e))?;
    Scenario::parse(&text).map_err(|e| named(&e))
}

fn example() -> io::Result<bool> {
    print!("{}", toml::to_string(&Scenario::default()).map_err(io::Error::other)?);
    Ok(true)
}

fn play(
    file: &Path, seed: Option<u64>, records: Option<&Path>, logs: bool, cast: &ProxyImplementation,
) -> io::Result<bool> {
    let mut s = scenario(file)?;
    s.seed = seed.unwrap_or(s.seed);
    println!("{}, seed {}: {} proxies, {} nodes, {} s", s.name, s.seed, s.proxies, s.nodes(), s.seconds);
    let outcome = run(&s, cast, &mut |_| {})?;
    if let Some(path) = records {
        write_records(path, &outcome)?;
    }
    for (proxy, lines) in outcome.logs.iter().enumerate().filter(|_| logs) {
        lines.iter().for_each(|line| println!("p{proxy}: {line}"));
    }
    print!("{}", outcome.verdict);
    outcome.tier.iter().for_each(|tier| print!("{tier}"));
    Ok(outcome.is_clean())
}

fn hunt(seed: u64, seconds: f64, lanes: u8, into: &Path) -> io::Result<bool> {
    let cast =
        ProxyImplementation::Program(Program { path: program::build("gaugesaddle")?, arguments: Vec::new() });
    let within = std::time::Duration::from_secs_f64(seconds);
    let print_line = |line: &str| println!("{line}");
    let summary = hunt::hunt(&cast, seed, within, usize::from(lanes), into, &print_line)?;
    println!("{summary}");
    Ok(summary.saved.is_empty())
}

fn write_records(path: &Path, outcome: &Outcome) -> io::Result<()> {
    let mut file = BufWriter::new(std::fs::File::create(path)?);
    for record in &outcome.records {
        serde_json::to_writer(&mut file, record)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

fn audit_records(file: &Path, records: &Path) -> io::Result<bool> {
    let s = scenario(file)?;
    let mut read: Vec<Record> = Vec::new();
    for (number, line) in BufReader::new(std::fs::File::open(records)?).lines().enumerate() {
        let record = serde_json::from_str(&line?);
        let at = || format!("{}: line {}: expected a record", records.display(), number + 1);
        read.push(record.map_err(|e| io::Error::other(format!("{}: {e}", at())))?);
    }
    let verdict = audit(&s, &read, 0);
    print!("{verdict}");
    Ok(verdict.is_clean())
}
