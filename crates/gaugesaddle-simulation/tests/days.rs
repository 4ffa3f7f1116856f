//! The failure: on some day of faults a change that was confirmed is lost, two are confirmed under one number, a cut-off
//! process hands an old configuration out, a key is used long after it was taken away, an acknowledged end is not known, or the fleet does not come back.

use gaugesaddle_simulation::{play, Plan, Shape};

/// Seeds of each deployment; `gaugesaddle-simulation hunt` plays more.
const SEEDS: u64 = 40;

fn hold(name: &str) {
    let shape = Shape::named(name).expect("a known deployment");
    let (mut confirmed, mut struck, mut in_touch, mut unproven) = (0, 0, 0, 0);
    for seed in 1..=SEEDS {
        let outcome = play(&Plan::draw(seed, shape.clone()));
        assert!(outcome.violations.is_empty(), "{name}, seed {seed}: {}", outcome.violations[0]);
        confirmed += outcome.confirmed;
        struck += outcome.struck;
        in_touch += outcome.looks_in_touch;
        unproven += outcome.looks_unproven;
    }
    // A day on which nothing happens would break no rule either.
    let days = SEEDS as usize;
    assert!(confirmed > 20 * days, "{confirmed} orders confirmed in {days} days");
    assert!(struck > 6 * days, "{struck} faults struck in {days} days");
    assert!(in_touch > 200 * days, "{in_touch} looks at proxies in touch in {days} days");
    assert!(unproven > days, "{unproven} looks at proxies that may not use keys in {days} days");
}

#[test]
fn four_disks_of_which_one_may_be_lost() {
    hold("nilavu-air");
}

#[test]
fn four_slower_disks_of_which_one_may_be_lost() {
    hold("tidewater-gs");
}

#[test]
fn five_disks_of_which_two_may_be_lost() {
    hold("nilavu-air-grown");
}

#[test]
fn eight_disks_of_which_two_may_be_lost() {
    hold("tidewater-gs-grown");
}

#[test]
fn eight_fast_disks_of_which_two_may_be_lost() {
    hold("lavallee-grown");
}

#[test]
fn three_disks_of_which_one_may_be_lost() {
    hold("three-zones");
}

#[test]
fn a_day_is_the_same_each_time_it_is_played() {
    let plan = Plan::draw(7, Shape::named("nilavu-air").expect("a known deployment"));
    let (one, two) = (play(&plan), play(&plan));
    assert_eq!((one.confirmed, one.terms, one.struck), (two.confirmed, two.terms, two.struck));
    let text = serde_json::to_string(&plan).expect("it can be written");
    assert_eq!(serde_json::from_str::<Plan>(&text).expect("and read"), plan);
}
