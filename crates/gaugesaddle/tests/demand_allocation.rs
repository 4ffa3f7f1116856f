//! Allocation of limits by demand among proxy processes while one is busy and others are killed, stopped, partitioned,
//! misinformed or replaced. The part that each proxy takes is read from its state.

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

/// Whether each of these proxies allocates by demand and counts exactly these as living members.
fn all_by_demand(tier: &Tier, indices: &[usize]) -> bool {
    let views: Vec<AllocationView> = indices.iter().map(|p| allocation(tier, *p)).collect();
    views.iter().all(|v| v.state == "by need" && v.living == indices.len())
}

#[test]
fn a_busy_proxy_gets_a_larger_part_and_the_parts_sum_to_one() {
    let tier = Tier::start_with("busy", 4, ENABLED);
    until("all proxies allocate by demand", || all_by_demand(&tier, &[0, 1, 2, 3]));
    until("the part of the busy proxy has grown", || {
        for _ in 0..10 {
            assert_eq!(send_request(tier.proxy(0), &request("read", 7000)).status(), 200);
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
    // For one limit, all proxies compute the same total, and their own parts sum to it.
    let attempt_row =
        |p: usize| allocation(&tier, p).soft.into_iter().next().expect("a row for the attempts");
    let (all, sum) = (attempt_row(0).whole, (0..4).map(|p| attempt_row(p).own).sum::<f64>());
    assert!((0.5..2.0).contains(&(sum / all)), "{sum} of {all}");
}

#[test]
fn parts_of_killed_proxies_are_redistributed_and_returned() {
    let mut tier = Tier::start_with("parts-killed", 5, ENABLED);
    until("all proxies allocate by demand", || all_by_demand(&tier, &[0, 1, 2, 3, 4]));
    [0, 2, 3].into_iter().for_each(|p| tier.kill(p));
    until("the two living proxies have half each", || {
        all_by_demand(&tier, &[1, 4])
            && [1, 4].iter().all(|p| (allocation(&tier, *p).part - 0.5).abs() < 0.02)
    });
    assert_eq!(
        (allocation(&tier, 1).position, allocation(&tier, 4).position),
        (0, 1),
        "both proxies order the members alike"
    );
    tier.start_proxy(2);
    until("the three living proxies have a third each", || {
        all_by_demand(&tier, &[1, 2, 4])
            && [1, 2, 4].iter().all(|p| (allocation(&tier, *p).part - 1.0 / 3.0).abs() < 0.02)
    });
}

#[test]
fn a_resumed_proxy_keeps_its_part_until_its_view_is_current() {
    let tier = Tier::start_with("parts-stop", 4, ENABLED);
    until("all proxies allocate by demand", || all_by_demand(&tier, &[0, 1, 2, 3]));
    tier.proxy(0).signal("-STOP");
    until("the others allocate among three", || all_by_demand(&tier, &[1, 2, 3]));
    tier.proxy(0).signal("-CONT");
    until("the resumed proxy reports an outdated view", || allocation(&tier, 0).state == "waking");
    assert!(allocation(&tier, 0).part < 0.3, "its part has not grown");
    until("all proxies allocate by demand again", || all_by_demand(&tier, &[0, 1, 2, 3]));
}

#[test]
fn each_side_of_a_partition_allocates_among_its_own_members() {
    let tier = Tier::start_with("parts-cut", 5, ENABLED);
    until("all proxies allocate by demand", || all_by_demand(&tier, &[0, 1, 2, 3, 4]));
    tier.network.set(Links { groups: vec![0, 0, 0, 1, 1], ..Links::default() });
    until("both sides go by demand", || all_by_demand(&tier, &[0, 1, 2]) && all_by_demand(&tier, &[3, 4]));
    assert!((allocation(&tier, 3).even - 0.5).abs() < 1e-9);
    tier.network.set(Links::default());
    until("all proxies allocate among five again", || all_by_demand(&tier, &[0, 1, 2, 3, 4]));
}

/// One of six members reports far more demand than the whole tier receives, then undecodable records. Its part stays
/// within three times the even part, the others keep at least the floor, and they get the rest back when it is gone.
#[test]
fn a_false_demand_report_is_bounded_and_undecodable_records_are_ignored() {
    let tier = Tier::start_all_but_last("liar", 6, &format!("{ENABLED}most_times = 3\n"));
    let honest: Vec<usize> = (0..5).collect();
    let fake = FakeMember::start(&tier, 5);
    let views = || -> Vec<AllocationView> { honest.iter().map(|p| allocation(&tier, *p)).collect() };
    until("all proxies allocate by demand", || views().iter().all(|v| v.state == "by need" && v.living == 6));
    // The honest members report little demand.
    let serve = || {
        honest
            .iter()
            .for_each(|p| assert_eq!(send_request(tier.proxy(*p), &request("read", 7000)).status(), 200));
    };
    fake.set_record(Signals { demand_per_s: Some(1e6), ..Signals::default() }.encode());
    let (floor, bound) = (0.1 / 6.0, 0.9 * 3.0 / 6.0);
    until("all proxies apply the reported demand", || {
        serve();
        views().iter().all(|v| v.part < 0.13)
    });
    for view in views() {
        assert!(view.part >= floor, "{view:?}");
    }
    let fake_part = 1.0 - views().iter().map(|v| v.part).sum::<f64>();
    assert!(fake_part <= bound + floor + 0.02, "the part exceeds three times the even part: {fake_part}");
    (0..5).for_each(|_| serve());
    for invalid in
        [vec![0xff; 120], vec![], Signals { demand_per_s: Some(f64::NAN), ..Signals::default() }.encode()]
    {
        fake.set_record(invalid);
        until("the invalid record counts as missing", || {
            serve();
            views().iter().all(|v| v.unknown == 1 && (v.part - 1.0 / 6.0).abs() < 0.04)
        });
    }
    drop(fake);
    until("the fake member has left every view", || views().iter().all(|v| v.living == 5));
}

/// Two processes with one member index: the successor takes no part before its predecessor releases the address, and
/// the other proxies count one member.
#[test]
fn two_processes_of_a_hot_restart_count_as_one_member() {
    let mut tier = Tier::start_all_but_last("parts-upgrade", 3, ENABLED);
    tier.start_for_hot_restart(2, 2);
    until("all proxies allocate by demand", || all_by_demand(&tier, &[0, 1, 2]));
    tier.start_for_hot_restart(2, 3);
    let log = |tier: &Tier, index: usize| tier.proxy(index).log();
    until("the processes are connected", || log(&tier, 2).contains("another process is to replace this one"));
    until("the successor waits for the address", || log(&tier, 3).contains("is not free yet"));
    let asked = tier.view(0).asked;
    until("more probes are sent", || tier.view(0).asked > asked + 10);
    assert!(all_by_demand(&tier, &[0, 1, 2]), "three members, with the first process as the third");
    assert_ne!(allocation(&tier, 3).state, "by need");
    tier.proxy(2).terminate();
    assert!(tier.proxies[2].as_mut().expect("the proxy runs").exit().success());
    until("the successor has taken over the part", || all_by_demand(&tier, &[0, 1, 3]));
    let parts: Vec<f64> = [0, 1, 3].iter().map(|p| allocation(&tier, *p).part).collect();
    assert!(parts.iter().all(|p| (p - 1.0 / 3.0).abs() < 0.05), "{parts:?}");
}

/// The sum of the parts of these proxies, read one after the other.
fn sum_of_parts(tier: &Tier, indices: &[usize]) -> f64 {
    indices.iter().map(|p| allocation(tier, *p).part).sum()
}

#[test]
fn a_tier_with_half_its_proxies_restarted_returns_to_even_parts() {
    let mut tier = Tier::start_with("parts-half", 6, ENABLED);
    let all = [0, 1, 2, 3, 4, 5];
    until("all proxies allocate by demand", || all_by_demand(&tier, &all));
    [1, 3, 5].into_iter().for_each(|p| tier.kill(p));
    [1, 3, 5].into_iter().for_each(|p| tier.start_proxy(p));
    // The survivors may not notice the restart; no part may exceed that of a tier of the three survivors alone.
    until("all proxies allocate by demand again", || {
        assert!(
            all.iter().all(|p| allocation(&tier, *p).part < 1.0 / 3.0 + 0.05),
            "the part exceeds that of a tier of three"
        );
        all_by_demand(&tier, &all)
    });
    until("even parts, as demand is even", || {
        all.iter().all(|p| (allocation(&tier, *p).part - 1.0 / 6.0).abs() < 0.02)
    });
    assert!((sum_of_parts(&tier, &all) - 1.0).abs() < 0.1);
}

#[test]
fn a_flapping_member_moves_other_parts_between_two_values_only() {
    let mut tier = Tier::start_with("parts-flap", 4, ENABLED);
    until("all proxies allocate by demand", || all_by_demand(&tier, &[0, 1, 2, 3]));
    let steady = [0, 1, 2];
    for _ in 0..2 {
        tier.kill(3);
        let asked = tier.view(0).asked;
        until("five more probes are sent", || {
            let sum = sum_of_parts(&tier, &steady);
            assert!(
                (0.7..1.1).contains(&sum),
                "the three steady proxies hold 3/4 to 3/3 of the total: {sum}"
            );
            tier.view(0).asked >= asked + 5
        });
        tier.start_proxy(3);
    }
    until("the restarted member counts again", || all_by_demand(&tier, &[0, 1, 2, 3]));
    until("three of four parts", || (sum_of_parts(&tier, &steady) - 0.75).abs() < 0.03);
}
