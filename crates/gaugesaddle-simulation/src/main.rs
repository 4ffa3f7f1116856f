//! The program `gaugesaddle-simulation`: simulates the plans of many seeds, or one stored plan.

use clap::{Arg, ArgMatches, Command};
use eyre::{eyre, Result, WrapErr};
use gaugesaddle_simulation::{shrink::shrink, simulate, Deployment, Outcome, Plan};
use std::ops::{ControlFlow, Range};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

fn number_option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(clap::value_parser!(u64)).help(help)
}

fn deployment_option() -> Arg {
    Arg::new("shape").long("shape").help("Name of the deployment; by default, all known deployments")
}

fn command() -> Command {
    Command::new("gaugesaddle-simulation")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Simulates the control plane in virtual time with injected faults and checks the observed history")
        .subcommand_required(true)
        .subcommand(
            Command::new("hunt")
                .about("Simulate many seeds; a plan that violates a rule is shrunk and printed as JSON")
                .arg(number_option("from", "1", "The first seed"))
                .arg(number_option("seeds", "100", "Number of seeds per deployment"))
                .arg(number_option("jobs", "4", "Number of concurrent runs"))
                .arg(deployment_option()),
        )
        .subcommand(
            Command::new("replay").about("Simulate a plan that was printed by hunt").arg(
                Arg::new("FILE")
                    .required(true)
                    .value_parser(clap::value_parser!(PathBuf))
                    .help("Plan in JSON"),
            ),
        )
        .subcommand(
            Command::new("trace")
                .about("Simulate the plan of one seed and print what happened")
                .arg(number_option("seed", "1", "The seed"))
                .arg(deployment_option().required(true)),
        )
}

/// Whether a run violated a rule.
enum Verdict {
    Clean,
    RuleViolated,
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("hunt", matches)) => hunt(matches),
        Some(("replay", matches)) => replay(matches),
        Some(("trace", matches)) => trace(matches),
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

fn deployments(matches: &ArgMatches) -> Result<Vec<Deployment>> {
    match matches.get_one::<String>("shape") {
        Some(name) => {
            Ok(vec![Deployment::named(name)
                .ok_or_else(|| eyre!("--shape {name}: expected a known deployment"))?])
        }
        None => Ok(Deployment::known()),
    }
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}

/// Totals over all runs of a deployment.
#[derive(Default)]
struct Totals {
    runs: usize,
    runs_with_violation: usize,
    confirmed_changes: usize,
    terms_with_leader: usize,
    injected_faults: usize,
}

impl Totals {
    fn add(&mut self, outcome: &Outcome) {
        self.runs += 1;
        self.runs_with_violation += usize::from(!outcome.violations.is_empty());
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
    for deployment in deployments(matches)? {
        let (totals, violating_plan) = simulate_seeds(&deployment, seeds.clone(), threads)?;
        println!(
            "{}: {} runs, {} with a violated rule; {} faults injected, {} changes confirmed, {} terms with a leader",
            deployment.name,
            totals.runs,
            totals.runs_with_violation,
            totals.injected_faults,
            totals.confirmed_changes,
            totals.terms_with_leader
        );
        if let Some(plan) = violating_plan {
            verdict = Verdict::RuleViolated;
            print_shrunk(&plan)?;
        }
    }
    Ok(verdict)
}

/// Simulates the seeds of a deployment; returns the totals and the first plan found to violate a rule.
fn simulate_seeds(
    deployment: &Deployment, seeds: Range<u64>, threads: u64,
) -> Result<(Totals, Option<Plan>)> {
    let next_seed = AtomicU64::new(seeds.start);
    let totals = Mutex::new(Totals::default());
    let violating_plan = Mutex::new(None);
    let simulate_next = || {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds.end {
            return ControlFlow::Break(());
        }
        let plan = Plan::draw(seed, deployment.clone());
        let outcome = simulate(&plan);
        if let Ok(mut totals) = totals.lock() {
            totals.add(&outcome);
        }
        if let (Some(violation), Ok(mut first)) = (outcome.violations.first(), violating_plan.lock()) {
            eprintln!("{} seed {seed}: {violation}", deployment.name);
            first.get_or_insert(plan);
        }
        ControlFlow::Continue(())
    };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| while simulate_next().is_continue() {});
        }
    });
    let totals = totals.into_inner().map_err(|_| eyre!("a simulated run panicked"))?;
    Ok((totals, violating_plan.into_inner().ok().flatten()))
}

fn print_shrunk(plan: &Plan) -> Result<()> {
    let smallest = shrink(plan);
    println!("{}", serde_json::to_string_pretty(&smallest)?);
    for violation in simulate(&smallest).violations.iter().take(5) {
        println!("{violation}");
    }
    Ok(())
}

fn trace(matches: &ArgMatches) -> Result<Verdict> {
    let mut verdict = Verdict::Clean;
    for deployment in deployments(matches)? {
        let outcome = simulate(&Plan::draw(number(matches, "seed"), deployment));
        outcome.trace.iter().for_each(|entry| println!("{entry}"));
        for violation in &outcome.violations {
            println!("{violation}");
            verdict = Verdict::RuleViolated;
        }
    }
    Ok(verdict)
}

fn replay(matches: &ArgMatches) -> Result<Verdict> {
    let file =
        matches.get_one::<PathBuf>("FILE").ok_or_else(|| eyre!("FILE: expected the path of a plan"))?;
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("reading plan {}", file.display()))?;
    let plan: Plan =
        serde_json::from_str(&text).wrap_err_with(|| format!("parsing plan {}", file.display()))?;
    let outcome = simulate(&plan);
    println!("{outcome:#?}");
    Ok(if outcome.violations.is_empty() { Verdict::Clean } else { Verdict::RuleViolated })
}
