//! Plays days of the control plane in virtual time.

use clap::{Arg, ArgMatches, Command};
use eyre::{eyre, Result, WrapErr};
use gaugesaddle_simulation::{play, shrink::shrink, Outcome, Plan, Shape};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(clap::value_parser!(u64)).help(help)
}

fn shape() -> Arg {
    Arg::new("shape").long("shape").help("A deployment's name; all known ones without it")
}

fn command() -> Command {
    Command::new("gaugesaddle-simulation")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Plays days of the control plane in virtual time and checks what was seen")
        .subcommand_required(true)
        .subcommand(
            Command::new("hunt")
                .about("Play many seeds; a day that breaks a rule is shrunk and printed as JSON")
                .arg(number("from", "1", "The first seed"))
                .arg(number("seeds", "100", "How many seeds of each deployment"))
                .arg(number("jobs", "4", "Days at a time"))
                .arg(shape()),
        )
        .subcommand(
            Command::new("replay").about("Play a day that was printed by hunt").arg(
                Arg::new("FILE")
                    .required(true)
                    .value_parser(clap::value_parser!(PathBuf))
                    .help("The day, in JSON"),
            ),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let done = match matches.subcommand() {
        Some(("hunt", matches)) => hunt(matches),
        Some(("replay", matches)) => replay(matches),
        _ => Ok(true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

fn shapes(matches: &ArgMatches) -> Result<Vec<Shape>> {
    match matches.get_one::<String>("shape") {
        Some(name) => {
            Ok(vec![Shape::named(name).ok_or_else(|| eyre!("--shape {name}: expected a known deployment"))?])
        }
        None => Ok(Shape::known()),
    }
}

fn value(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

/// Sums over days.
#[derive(Default)]
struct Sums {
    days: usize,
    broken: usize,
    confirmed: usize,
    terms: usize,
    struck: usize,
}

impl Sums {
    fn add(&mut self, outcome: &Outcome) {
        self.days += 1;
        self.broken += usize::from(!outcome.violations.is_empty());
        self.confirmed += outcome.confirmed;
        self.terms += outcome.terms;
        self.struck += outcome.struck;
    }
}

fn hunt(matches: &ArgMatches) -> Result<bool> {
    let (from, seeds) = (value(matches, "from"), value(matches, "seeds"));
    let mut clean = true;
    for shape in shapes(matches)? {
        let (next, sums) = (AtomicU64::new(from), Mutex::new(Sums::default()));
        let first_broken = Mutex::new(None);
        std::thread::scope(|scope| {
            for _ in 0..value(matches, "jobs").max(1) {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= from + seeds {
                        return;
                    }
                    let plan = Plan::draw(seed, shape.clone());
                    let outcome = play(&plan);
                    if let Ok(mut sums) = sums.lock() {
                        sums.add(&outcome);
                    }
                    if let (false, Ok(mut first)) = (outcome.violations.is_empty(), first_broken.lock()) {
                        eprintln!("{} seed {seed}: {}", shape.name, outcome.violations[0]);
                        first.get_or_insert(plan);
                    }
                });
            }
        });
        let sums = sums.into_inner().map_err(|_| eyre!("a day ended by a fault of its own"))?;
        println!(
            "{}: {} days, {} with a broken rule; {} faults struck, {} orders confirmed, {} terms led",
            shape.name, sums.days, sums.broken, sums.struck, sums.confirmed, sums.terms
        );
        if let Some(plan) = first_broken.into_inner().ok().flatten() {
            clean = false;
            print_shrunk(&plan)?;
        }
    }
    Ok(clean)
}

fn print_shrunk(plan: &Plan) -> Result<()> {
    let least = shrink(plan);
    println!("{}", serde_json::to_string_pretty(&least)?);
    for violation in play(&least).violations.iter().take(5) {
        println!("{violation}");
    }
    Ok(())
}

fn replay(matches: &ArgMatches) -> Result<bool> {
    let file = matches.get_one::<PathBuf>("FILE").ok_or_else(|| eyre!("FILE: expected"))?;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{}", file.display()))?;
    let plan: Plan = serde_json::from_str(&text).wrap_err_with(|| format!("{}", file.display()))?;
    let outcome = play(&plan);
    println!("{outcome:#?}");
    Ok(outcome.violations.is_empty())
}
