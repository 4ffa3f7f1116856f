//! What may come from another region in a second, lent among the proxies that take it: two regions of three processes each,
//! all halls of one silent, judged by what the stand-ins' records say reached them.

use gaugesaddle_testbed::program;
use gaugesaddle_testbed::scenario::{Clients, Kind, Regions};
use gaugesaddle_testbed::{run, Disturbance, Outcome, Program, ProxyImplementation, Scenario, Violation};

/// More want to leave than may: the bound is felt. Proxies 0, 2 and 4 are those of the region that is lost.
fn lost(seed: u64, per_s: u32) -> Scenario {
    let kinds = vec![Kind { name: "fast".into(), count: 8, speed: 2.0, ..Kind::default() }];
    let clients = Clients { per_s: 80.0, leaving: 0.0, uneven: vec![3.0, 1.0, 0.5], ..Clients::default() };
    let regions = Regions { count: 2, per_s, in_flight: 120, ..Regions::default() };
    let s = Scenario { seconds: 16.0, proxies: 6, zones: 4, kinds, clients, regions, ..Scenario::default() };
    let s = Scenario { seed, peers: true, demand_allocation: true, ..s };
    [0, 2].into_iter().fold(s, |s, zone| s.event(7.0, Disturbance::ZoneOutage { zone, for_s: 8.0 }))
}

fn play(s: &Scenario) -> Outcome {
    let proxy = Program { path: program::path("gaugesaddle"), arguments: Vec::new() };
    let outcome = run(s, &ProxyImplementation::Program(proxy), &mut |_| {}).expect("a run");
    let over = outcome.verdict.findings.iter().any(|f| f.violation == Violation::OverBudget);
    assert!(!over, "more left than may: {}", outcome.verdict);
    assert!(outcome.is_clean(), "{}{}", outcome.verdict, outcome.tier.clone().unwrap_or_default());
    outcome
}

/// All of these at once, each on networks of its own.
fn play_all(all: Vec<Scenario>) -> Vec<Outcome> {
    let threads: Vec<_> = all.into_iter().map(|s| std::thread::spawn(move || play(&s))).collect();
    threads.into_iter().map(|t| t.join().expect("no rule was broken")).collect()
}

#[test]
fn the_bound_on_what_may_come_holds_while_proxies_of_either_side_die_sleep_and_return() {
    let killed = |s: Scenario, proxy| s.event(5.0, Disturbance::LoseProxy { proxy });
    let all = play_all(vec![
        // Two of the three that send.
        killed(killed(lost(1, 20), 2), 4),
        // One of those that take is gone, another back within the term of what it had lent.
        killed(lost(2, 20), 1).event(9.0, Disturbance::KillProxy { proxy: 3, back_after_s: 0.5 }),
        // One of those that take sleeps past the end of all it had borrowed and lent.
        lost(3, 20).event(8.0, Disturbance::StopProxy { proxy: 5, for_s: 6.0 }),
    ]);
    let left: Vec<u64> = all.iter().map(|o| o.verdict.regions[0].spilled).collect();
    assert!(left.iter().all(|n| *n > 30), "something left in each: {left:?}");
    let most: Vec<usize> = all.iter().map(|o| o.verdict.regions[0].max_spilled_per_s).collect();
    assert!(most[0] > 10, "one sender finds the places of all gateways: {most:?}");
}
