//! Parts by need, as processes: one proxy is busy, others are killed, stopped, cut off, lied to or replaced. What each takes
//! for its part is read from its state.

mod tier;

use gaugesaddle::registry::AllocationView;
use gaugesaddle_membership::Signals;
use gaugesaddle_testbed::datagrams::Links;
use gaugesaddle_testbed::scripted::*;
use tier::{FakeMember, Tier};

const ENABLED: &str = "[shares]\nenabled = true\n";

fn allocation(tier: &Tier, index: usize) -> AllocationView {
    tier.state(index).and_then(|s| s.shares).unwrap_or_default()
}

/// All of these go by need, and know of so many.
fn all_by_demand(tier: &Tier, indices: &[usize]) -> bool {
    let views: Vec<AllocationView> = indices.iter().map(|p| allocation(tier, *p)).collect();
    views.iter().all(|v| v.state == "by need" && v.living == indices.len())
}

#[test]
fn a_busy_proxy_gets_a_larger_part_and_the_parts_sum_to_one() {
    let tier = Tier::start_with("busy", 4, ENABLED);
    until("all go by need", || all_by_demand(&tier, &[0, 1, 2, 3]));
    until("the busy one's part has grown", || {
        for _ in 0..10 {
            assert_eq!(ask(tier.proxy(0), &request("read", 7000)).status(), 200);
        }
        allocation(&tier, 0).part > 0.7
    });
    let parts: Vec<f64> = (0..4).map(|p| allocation(&tier, p).part).collect();
    assert!(parts[1..].iter().all(|p| *p < 0.15 && *p >= 0.02), "{parts:?}");
    let sum: f64 = parts.iter().sum();
    assert!((0.8..1.25).contains(&sum), "{parts:?}");
    let table = tier.table(0, "shares");
    assert!(table.starts_with("shares: by need; 4 of 4 live, this is the 1. of them"), "{table}");
    let rows: Vec<&str> = table.lines().filter(|l| l.ends_with("need, of the living")).collect();
    assert!(rows.len() == 3 && rows[0].starts_with("attempts out"), "{table}");
    // Of one quantity all reckon the same whole, and their own parts sum to it.
    let attempt_row = |p: usize| allocation(&tier, p).soft.into_iter().next().expect("the attempts");
    let (all, sum) = (attempt_row(0).whole, (0..4).map(|p| attempt_row(p).own).sum::<f64>());
    assert!((0.5..2.0).contains(&(sum / all)), "{sum} of {all}");
}

#[test]
fn parts_of_killed_proxies_are_redistributed_and_returned() {
    let mut tier = Tier::start_with("parts-killed", 5, ENABLED);
    until("all go by need", || all_by_demand(&tier, &[0, 1, 2, 3, 4]));
    [0, 2, 3].into_iter().for_each(|p| tier.kill(p));
    until("two share the whole", || {
        all_by_demand(&tier, &[1, 4])
            && [1, 4].iter().all(|p| (allocation(&tier, *p).part - 0.5).abs() < 0.02)
    });
    assert_eq!((allocation(&tier, 1).position, allocation(&tier, 4).position), (0, 1), "one order for both");
    tier.start_proxy(2);
    until("three share it", || {
        all_by_demand(&tier, &[1, 2, 4])
            && [1, 2, 4].iter().all(|p| (allocation(&tier, *p).part - 1.0 / 3.0).abs() < 0.02)
    });
}

#[test]
fn a_resumed_proxy_keeps_its_part_until_its_view_is_current() {
    let tier = Tier::start_with("parts-stop", 4, ENABLED);
    until("all go by need", || all_by_demand(&tier, &[0, 1, 2, 3]));
    tier.proxy(0).signal("-STOP");
    until("the others go on", || all_by_demand(&tier, &[1, 2, 3]));
    tier.proxy(0).signal("-CONT");
    until("it says that it does not know", || allocation(&tier, 0).state == "waking");
    assert!(allocation(&tier, 0).part < 0.3, "not more than it had");
    until("all go by need again", || all_by_demand(&tier, &[0, 1, 2, 3]));
}

#[test]
fn each_side_of_a_partition_allocates_among_its_own_members() {
    let tier = Tier::start_with("parts-cut", 5, ENABLED);
    until("all go by need", || all_by_demand(&tier, &[0, 1, 2, 3, 4]));
    tier.network.set(Links { groups: vec![0, 0, 0, 1, 1], ..Links::default() });
    until("the sides go on", || all_by_demand(&tier, &[0, 1, 2]) && all_by_demand(&tier, &[3, 4]));
    assert!((allocation(&tier, 3).even - 0.5).abs() < 1e-9);
    tier.network.set(Links::default());
    until("all again", || all_by_demand(&tier, &[0, 1, 2, 3, 4]));
}

/// One of six tells far more than comes to all, then nonsense: it takes no more than the bound of three times the even part,
/// the others serve by theirs, and get all back when it goes.
#[test]
fn a_false_demand_report_is_bounded_and_undecodable_records_are_ignored() {
    let tier = Tier::start_all_but_last("liar", 6, &format!("{ENABLED}most_times = 3\n"));
    let honest: Vec<usize> = (0..5).collect();
    let fake = FakeMember::start(&tier, 5);
    let views = || -> Vec<AllocationView> { honest.iter().map(|p| allocation(&tier, *p)).collect() };
    until("all go by need", || views().iter().all(|v| v.state == "by need" && v.living == 6));
    // All of them have told something, the honest ones that little comes.
    let serve = || {
        honest.iter().for_each(|p| assert_eq!(ask(tier.proxy(*p), &request("read", 7000)).status(), 200));
    };
    fake.set_record(Signals { demand_per_s: Some(1e6), ..Signals::default() }.encode());
    let (floor, bound) = (0.1 / 6.0, 0.9 * 3.0 / 6.0);
    until("all believe it", || {
        serve();
        views().iter().all(|v| v.part < 0.13)
    });
    for view in views() {
        assert!(view.part >= floor, "{view:?}");
    }
    let fake_part = 1.0 - views().iter().map(|v| v.part).sum::<f64>();
    assert!(fake_part <= bound + floor + 0.02, "no more than three times the even part: {fake_part}");
    (0..5).for_each(|_| serve());
    for nonsense in
        [vec![0xff; 120], vec![], Signals { demand_per_s: Some(f64::NAN), ..Signals::default() }.encode()]
    {
        fake.set_record(nonsense);
        until("nothing was said", || {
            serve();
            views().iter().all(|v| v.unknown == 1 && (v.part - 1.0 / 6.0).abs() < 0.04)
        });
    }
    drop(fake);
    until("it is gone", || views().iter().all(|v| v.living == 5));
}

/// Two processes of one place: the successor takes no part before the place is its own, and the others count one.
#[test]
fn two_processes_of_a_hot_restart_count_as_one_member() {
    let mut tier = Tier::start_all_but_last("parts-upgrade", 3, ENABLED);
    tier.start_for_hot_restart(2, 2);
    until("all go by need", || all_by_demand(&tier, &[0, 1, 2]));
    tier.start_for_hot_restart(2, 3);
    let log = |tier: &Tier, index: usize| tier.proxy(index).log();
    until("they have met", || log(&tier, 2).contains("another process is to replace this one"));
    until("it waits for the place", || log(&tier, 3).contains("is not free yet"));
    let asked = tier.view(0).asked;
    until("some more looks", || tier.view(0).asked > asked + 10);
    assert!(all_by_demand(&tier, &[0, 1, 2]), "the first has the place, and there are three");
    assert_ne!(allocation(&tier, 3).state, "by need");
    tier.proxy(2).terminate();
    assert!(tier.proxies[2].as_mut().expect("it ran").exit().success());
    until("the successor has its part", || all_by_demand(&tier, &[0, 1, 3]));
    let parts: Vec<f64> = [0, 1, 3].iter().map(|p| allocation(&tier, *p).part).collect();
    assert!(parts.iter().all(|p| (p - 1.0 / 3.0).abs() < 0.05), "{parts:?}");
}

/// The sum of what these take for their parts, as they say at about one moment.
fn sum_of_parts(tier: &Tier, indices: &[usize]) -> f64 {
    indices.iter().map(|p| allocation(tier, *p).part).sum()
}

#[test]
fn a_tier_with_half_its_proxies_restarted_returns_to_even_parts() {
    let mut tier = Tier::start_with("parts-half", 6, ENABLED);
    let all = [0, 1, 2, 3, 4, 5];
    until("all go by need", || all_by_demand(&tier, &all));
    [1, 3, 5].into_iter().for_each(|p| tier.kill(p));
    [1, 3, 5].into_iter().for_each(|p| tier.start_proxy(p));
    // Those that live on may not have missed them: nobody's part is ever more than what the survivors alone would have.
    until("all go by need again", || {
        assert!(all.iter().all(|p| allocation(&tier, *p).part < 1.0 / 3.0 + 0.05), "of three at most");
        all_by_demand(&tier, &all)
    });
    until("even parts, for nobody needs more", || {
        all.iter().all(|p| (allocation(&tier, *p).part - 1.0 / 6.0).abs() < 0.02)
    });
    assert!((sum_of_parts(&tier, &all) - 1.0).abs() < 0.1);
}

#[test]
fn a_flapping_member_moves_other_parts_between_two_values_only() {
    let mut tier = Tier::start_with("parts-flap", 4, ENABLED);
    until("all go by need", || all_by_demand(&tier, &[0, 1, 2, 3]));
    let steady = [0, 1, 2];
    for _ in 0..2 {
        tier.kill(3);
        let asked = tier.view(0).asked;
        until("a second of questions", || {
            let sum = sum_of_parts(&tier, &steady);
            assert!((0.7..1.1).contains(&sum), "three parts of three or of four: {sum}");
            tier.view(0).asked >= asked + 5
        });
        tier.start_proxy(3);
    }
    until("it counts again", || all_by_demand(&tier, &[0, 1, 2, 3]));
    until("four parts", || (sum_of_parts(&tier, &steady) - 0.75).abs() < 0.03);
}
