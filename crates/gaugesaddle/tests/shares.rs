//! Parts by need, as processes: one proxy is busy, others are killed, stopped or cut off. What each takes for its part is
//! read from its state.

mod tier;

use gaugesaddle::registry::SharesView;
use gaugesaddle_testbed::datagrams::Links;
use gaugesaddle_testbed::scripted::*;
use tier::Tier;

const ON: &str = "[shares]\nenabled = true\n";

fn shares(tier: &Tier, place: usize) -> SharesView {
    tier.state(place).and_then(|s| s.shares).unwrap_or_default()
}

/// All of these go by need, and know of so many.
fn by_need(tier: &Tier, places: &[usize]) -> bool {
    let views: Vec<SharesView> = places.iter().map(|p| shares(tier, *p)).collect();
    views.iter().all(|v| v.state == "by need" && v.living == places.len())
}

#[test]
fn a_busy_proxy_gets_more_and_all_parts_stay_the_whole() {
    let tier = Tier::start_with("busy", 4, ON);
    until("all go by need", || by_need(&tier, &[0, 1, 2, 3]));
    until("the busy one's part has grown", || {
        for _ in 0..10 {
            assert_eq!(ask(tier.proxy(0), &request("read", 7000)).status(), 200);
        }
        shares(&tier, 0).part > 0.7
    });
    let parts: Vec<f64> = (0..4).map(|p| shares(&tier, p).part).collect();
    assert!(parts[1..].iter().all(|p| *p < 0.15 && *p >= 0.02), "{parts:?}");
    let sum: f64 = parts.iter().sum();
    assert!((0.8..1.25).contains(&sum), "{parts:?}");
    let table = std::process::Command::new(gaugesaddle_testbed::program::path("gaugesaddle"))
        .args(["state", "shares", "--socket"])
        .arg(tier.socket(0))
        .output()
        .unwrap();
    let table = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(table.starts_with("shares: by need; 4 of 4 live, this is the 1. of them"), "{table}");
}

#[test]
fn the_parts_of_the_killed_go_to_those_that_live_and_back() {
    let mut tier = Tier::start_with("parts-killed", 5, ON);
    until("all go by need", || by_need(&tier, &[0, 1, 2, 3, 4]));
    [0, 2, 3].into_iter().for_each(|p| tier.kill(p));
    until("two share the whole", || {
        by_need(&tier, &[1, 4]) && [1, 4].iter().all(|p| (shares(&tier, *p).part - 0.5).abs() < 0.02)
    });
    assert_eq!((shares(&tier, 1).position, shares(&tier, 4).position), (0, 1), "one order for both");
    tier.run(2);
    until("three share it", || {
        by_need(&tier, &[1, 2, 4])
            && [1, 2, 4].iter().all(|p| (shares(&tier, *p).part - 1.0 / 3.0).abs() < 0.02)
    });
}

#[test]
fn one_that_slept_goes_by_what_it_knew_until_it_has_listened() {
    let tier = Tier::start_with("parts-stop", 4, ON);
    until("all go by need", || by_need(&tier, &[0, 1, 2, 3]));
    tier.proxy(0).signal("-STOP");
    until("the others go on", || by_need(&tier, &[1, 2, 3]));
    tier.proxy(0).signal("-CONT");
    until("it says that it does not know", || shares(&tier, 0).state == "waking");
    assert!(shares(&tier, 0).part < 0.3, "not more than it had");
    until("all go by need again", || by_need(&tier, &[0, 1, 2, 3]));
}

#[test]
fn each_side_of_a_cut_goes_by_its_own_and_all_by_all_after_the_heal() {
    let tier = Tier::start_with("parts-cut", 5, ON);
    until("all go by need", || by_need(&tier, &[0, 1, 2, 3, 4]));
    tier.ways.set(Links { parts: vec![0, 0, 0, 1, 1], ..Links::default() });
    until("the sides go on", || by_need(&tier, &[0, 1, 2]) && by_need(&tier, &[3, 4]));
    assert!((shares(&tier, 3).even - 0.5).abs() < 1e-9);
    tier.ways.set(Links::default());
    until("all again", || by_need(&tier, &[0, 1, 2, 3, 4]));
}
