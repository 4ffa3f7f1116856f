//! Guards against rule violations under random faults within the tolerated losses: a confirmed change is lost, two
//! changes are confirmed with the same revision, a partitioned process distributes an old configuration, a revoked key
//! stays in use, a backend is used after its acknowledged departure, or the fleet does not recover.

use gaugesaddle_simulation::{simulate, Deployment, Outcome, Plan};

/// Number of seeds per deployment; `gaugesaddle-simulation hunt` simulates more.
const SEEDS: u64 = 40;

fn assert_no_violations(name: &str) {
    let deployment = Deployment::named(name).expect("a known deployment");
    let (mut confirmed, mut faults, mut connected, mut unproven) = (0, 0, 0, 0);
    for seed in 1..=SEEDS {
        let outcome = simulate(&Plan::draw(seed, deployment.clone()));
        assert!(outcome.violations.is_empty(), "{name}, seed {seed}: {}", outcome.violations[0]);
        confirmed += outcome.confirmed_changes;
        faults += outcome.injected_faults;
        connected += outcome.connected_checks;
        unproven += outcome.unproven_checks;
    }
    // A run without changes and faults would violate no rule either.
    let runs = SEEDS as usize;
    assert!(confirmed > 20 * runs, "{confirmed} changes confirmed in {runs} runs");
    assert!(faults > 6 * runs, "{faults} faults injected in {runs} runs");
    assert!(connected > 200 * runs, "{connected} checks of connected proxies in {runs} runs");
    assert!(unproven > runs, "{unproven} checks of proxies without a proof in {runs} runs");
}

#[test]
fn four_disks_survive_one_loss() {
    assert_no_violations("nilavu-air");
}

#[test]
fn four_slow_disks_survive_one_loss() {
    assert_no_violations("tidewater-gs");
}

#[test]
fn five_disks_survive_two_losses() {
    assert_no_violations("nilavu-air-grown");
}

#[test]
fn eight_slow_disks_survive_two_losses() {
    assert_no_violations("tidewater-gs-grown");
}

#[test]
fn eight_fast_disks_survive_two_losses() {
    assert_no_violations("lavallee-grown");
}

#[test]
fn three_disks_survive_one_loss() {
    assert_no_violations("three-zones");
}

/// Guards against voters that end as planned and remain voters: the group had no majority afterwards in the first seeds
/// before planned ends took time in the simulation, and has none in the last seeds if no voter leaves.
#[test]
fn groups_recover_from_losses_after_planned_ends() {
    let plans = [
        ("tidewater-gs", 2_001_864),
        ("nilavu-air-grown", 4_007_000),
        ("nilavu-air-grown", 4_007_231),
        ("nilavu-air-grown", 4_011_562),
        ("nilavu-air-grown", 8_001_161),
        ("three-zones", 8_001_749),
        ("nilavu-air", 9_000_077),
        ("nilavu-air", 9_000_361),
        ("tidewater-gs", 9_000_056),
        ("nilavu-air-grown", 9_000_056),
        ("nilavu-air-grown", 9_000_292),
    ];
    for (name, seed) in plans {
        let deployment = Deployment::named(name).expect("a known deployment");
        let outcome = simulate(&Plan::draw(seed, deployment));
        assert!(outcome.violations.is_empty(), "{name}, seed {seed}: {}", outcome.violations[0]);
    }
}

#[test]
fn simulating_a_plan_twice_gives_the_same_outcome() {
    let plan = Plan::draw(7, Deployment::named("nilavu-air").expect("a known deployment"));
    let (one, two) = (simulate(&plan), simulate(&plan));
    let counts =
        |outcome: &Outcome| (outcome.confirmed_changes, outcome.terms_with_leader, outcome.injected_faults);
    assert_eq!(counts(&one), counts(&two));
    let text = serde_json::to_string(&plan).expect("the plan is serialized");
    assert_eq!(serde_json::from_str::<Plan>(&text).expect("the plan is deserialized"), plan);
}
