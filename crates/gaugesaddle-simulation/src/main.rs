//! The program `gaugesaddle-simulation`: plays many seeds, or one stored plan.

use clap::{Arg, ArgMatches, Command};
use eyre::{eyre, Result, WrapErr};
use gaugesaddle_simulation::{play, shrink::shrink, Outcome, Plan, Shape};
use std::ops::{ControlFlow, Range};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

fn number_option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(clap::value_parser!(u64)).help(help)
}

fn shape_option() -> Arg {
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
                .arg(number_option("from", "1", "The first seed"))
                .arg(number_option("seeds", "100", "How many seeds of each deployment"))
                .arg(number_option("jobs", "4", "Days at a time"))
                .arg(shape_option()),
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

/// What the days showed.
enum Verdict {
    Clean,
    RuleViolated,
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("hunt", matches)) => hunt(matches),
        Some(("replay", matches)) => replay(matches),
        _ => Ok(Verdict::Clean),
    };
    match result {
        Ok(Verdict::Clean) => ExitCode::SUCCESS,
        Ok(Verdict::RuleViolated) => ExitCode::FAILURE,
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

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

/// Sums over days.
#[derive(Default)]
struct Sums {
    days: usize,
    days_with_violation: usize,
    confirmed_changes: usize,
    terms_with_leader: usize,
    injected_faults: usize,
}

impl Sums {
    fn add(&mut self, outcome: &Outcome) {
        self.days += 1;
        self.days_with_violation += usize::from(!outcome.violations.is_empty());
        self.confirmed_changes += outcome.confirmed_changes;
        self.terms_with_leader += outcome.terms_with_leader;
        self.injected_faults += outcome.injected_faults;
    }
}

fn hunt(matches: &ArgMatches) -> Result<Verdict> {
    let first_seed = number(matches, "from");
    let seeds = first_seed..first_seed + number(matches, "seeds");
    let threads = number(matches, "jobs").max(1);
    let mut verdict = Verdict::Clean;
    for shape in shapes(matches)? {
        let (sums, violating_plan) = play_seeds(&shape, seeds.clone(), threads)?;
        println!(
            "{}: {} days, {} with a broken rule; {} faults struck, {} orders confirmed, {} terms led",
            shape.name,
            sums.days,
            sums.days_with_violation,
            sums.injected_faults,
            sums.confirmed_changes,
            sums.terms_with_leader
        );
        if let Some(plan) = violating_plan {
            verdict = Verdict::RuleViolated;
            print_shrunk(&plan)?;
        }
    }
    Ok(verdict)
}

/// Plays the seeds of a deployment; returns sums and the first plan that was found to violate a rule.
fn play_seeds(shape: &Shape, seeds: Range<u64>, threads: u64) -> Result<(Sums, Option<Plan>)> {
    let next_seed = AtomicU64::new(seeds.start);
    let sums = Mutex::new(Sums::default());
    let violating_plan = Mutex::new(None);
    let play_next = || {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return ControlFlow::Break(());
        }
        let plan = Plan::draw(seed, shape.clone());
        let outcome = play(&plan);
        if let Ok(mut sums) = sums.lock() {
            sums.add(&outcome);
        }
        if let (Some(violation), Ok(mut first)) = (outcome.violations.first(), violating_plan.lock()) {
            eprintln!("{} seed {seed}: {violation}", shape.name);
            first.get_or_insert(plan);
        }
        ControlFlow::Continue(())
    };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| while play_next().is_continue() {});
        }
    });
    let sums = sums.into_inner().map_err(|_| eyre!("a day ended by a panic"))?;
    Ok((sums, violating_plan.into_inner().ok().flatten()))
}

fn print_shrunk(plan: &Plan) -> Result<()> {
    let smallest = shrink(plan);
    println!("{}", serde_json::to_string_pretty(&smallest)?);
    for violation in play(&smallest).violations.iter().take(5) {
        println!("{violation}");
    }
    Ok(())
}

fn replay(matches: &ArgMatches) -> Result<Verdict> {
    let file = matches.get_one::<PathBuf>("FILE").ok_or_else(|| eyre!("FILE: expected"))?;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{}", file.display()))?;
    let plan: Plan = serde_json::from_str(&text).wrap_err_with(|| format!("{}", file.display()))?;
    let outcome = play(&plan);
    println!("{outcome:#?}");
    Ok(if outcome.violations.is_empty() { Verdict::Clean } else { Verdict::RuleViolated })
}
