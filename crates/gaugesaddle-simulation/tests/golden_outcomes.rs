//! The failure: a renamed field makes stored plans unreadable, or a change of the order or number of random draws makes a
//! seed give another day.
//!
//! `data/day.json` has every kind of fault. `data/outcomes.txt` is recorded anew only by a commit that changes what replicas
//! do, and says so; a rename must leave it as it is.

use gaugesaddle_simulation::{simulate, Deployment, Outcome, Plan};

const STORED_PLAN: &str = include_str!("data/day.json");
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

fn counts(outcome: &Outcome) -> String {
    format!(
        "violations {}, confirmed {}, terms {}, faults {}, checks {} {}\n",
        outcome.violations.len(),
        outcome.confirmed_changes,
        outcome.terms_with_leader,
        outcome.injected_faults,
        outcome.connected_checks,
        outcome.unproven_checks
    )
}

#[test]
fn stored_plan_is_read_and_written_unchanged() {
    let plan: Plan = serde_json::from_str(STORED_PLAN).expect("a plan");
    assert_eq!(serde_json::to_string_pretty(&plan).expect("JSON") + "\n", STORED_PLAN);
}

#[test]
fn outcomes_of_recorded_seeds_are_unchanged() {
    let stored_plan: Plan = serde_json::from_str(STORED_PLAN).expect("a plan");
    let mut outcomes = format!("day.json: {}", counts(&simulate(&stored_plan)));
    for deployment in Deployment::known() {
        for seed in SEEDS {
            let plan = Plan::draw(seed, deployment.clone());
            let planned = plan.faults.len();
            outcomes +=
                &format!("{} seed {seed}: planned {planned}, {}", deployment.name, counts(&simulate(&plan)));
        }
    }
    assert_eq!(outcomes, include_str!("data/outcomes.txt"));
}
