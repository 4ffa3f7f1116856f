//! Guards against a renamed field that makes stored plans unreadable, and against a change of the order or number of
//! random draws, after which a seed gives another run.
//!
//! `data/day.json` contains every kind of fault. `data/outcomes.txt` is recorded again only by a commit that changes
//! the behaviour of replicas and says so; a rename must not change it.

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
    let plan: Plan = serde_json::from_str(STORED_PLAN).expect("data/day.json contains a plan");
    assert_eq!(serde_json::to_string_pretty(&plan).expect("the plan is serialized") + "\n", STORED_PLAN);
}

#[test]
fn outcomes_of_recorded_seeds_are_unchanged() {
    let stored_plan: Plan = serde_json::from_str(STORED_PLAN).expect("data/day.json contains a plan");
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
