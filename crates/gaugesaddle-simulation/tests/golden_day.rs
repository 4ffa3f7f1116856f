//! The failure: a renamed field makes stored plans unreadable, or a change of the order or number of random draws makes a
//! seed give another day.
//!
//! `data/day.json` has every kind of fault. `data/outcomes.txt` is recorded anew only by a commit that changes what replicas
//! do, and says so; a rename must leave it as it is.

use gaugesaddle_simulation::{play, Outcome, Plan, Shape};

const DAY: &str = include_str!("data/day.json");
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
    let plan: Plan = serde_json::from_str(DAY).expect("a plan");
    assert_eq!(serde_json::to_string_pretty(&plan).expect("JSON") + "\n", DAY);
}

#[test]
fn outcomes_of_recorded_seeds_are_unchanged() {
    let day: Plan = serde_json::from_str(DAY).expect("a plan");
    let mut outcomes = format!("day.json: {}", counts(&play(&day)));
    for shape in Shape::known() {
        for seed in SEEDS {
            let plan = Plan::draw(seed, shape.clone());
            let planned = plan.faults.len();
            outcomes += &format!("{} seed {seed}: planned {planned}, {}", shape.name, counts(&play(&plan)));
        }
    }
    assert_eq!(outcomes, include_str!("data/outcomes.txt"));
}
