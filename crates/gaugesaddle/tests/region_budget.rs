//! What may come from another region in a second, lent among the proxies that take it: two regions of three processes each,
//! all halls of one silent, judged by what the stand-ins' records say reached them.

use gaugesaddle_testbed::program;
use gaugesaddle_testbed::scenario::{Clients, Kind, Regions};
use gaugesaddle_testbed::{run, Broken, Cast, Disturbance, Outcome, Program, Scenario};

/// More want to leave than may: the bound is felt. Proxies 0, 2 and 4 are those of the region that is lost.
fn region_loss_scenario(seed: u64, per_s: u32) -> Scenario {
    let kinds = vec![Kind { name: "fast".into(), count: 8, speed: 2.0, ..Kind::default() }];
    let clients = Clients { per_s: 80.0, leaving: 0.0, uneven: vec![3.0, 1.0, 0.5], ..Clients::default() };
    let regions = Regions { count: 2, per_s, in_flight: 120, ..Regions::default() };
    let s = Scenario { seconds: 16.0, proxies: 6, zones: 4, kinds, clients, regions, ..Scenario::default() };
    let s = Scenario { seed, peers: true, demand_allocation: true, ..s };
    [0, 2].into_iter().fold(s, |s, zone| s.event(7.0, Disturbance::ZoneOutage { zone, for_s: 8.0 }))
}

fn run_scenario(s: &Scenario) -> Outcome {
    let proxy = Program { path: program::path("gaugesaddle"), arguments: Vec::new() };
    let outcome = run(s, &Cast::Program(proxy), &mut |_| {}).expect("a run");
    let over = outcome.verdict.findings.iter().any(|f| f.broken == Broken::OverBudget);
    assert!(!over, "more left than may: {}", outcome.verdict);
    assert!(outcome.is_clean(), "{}{}", outcome.verdict, outcome.tier.clone().unwrap_or_default());
    outcome
}

/// All of these at once, each on networks of its own.
fn run_scenarios(scenarios: Vec<Scenario>) -> Vec<Outcome> {
    let threads: Vec<_> =
        scenarios.into_iter().map(|s| std::thread::spawn(move || run_scenario(&s))).collect();
    threads.into_iter().map(|t| t.join().expect("no rule was broken")).collect()
}

#[test]
fn the_inbound_budget_holds_while_proxies_of_either_region_die_stop_and_return() {
    let lose_proxy = |s: Scenario, proxy| s.event(5.0, Disturbance::LoseProxy { proxy });
    let outcomes = run_scenarios(vec![
        // Two of the three that send.
        lose_proxy(lose_proxy(region_loss_scenario(1, 20), 2), 4),
        // One of those that take is gone, another back within the term of what it had lent.
        lose_proxy(region_loss_scenario(2, 20), 1)
            .event(9.0, Disturbance::KillProxy { proxy: 3, back_after_s: 0.5 }),
        // One of those that take sleeps past the end of all it had borrowed and lent.
        region_loss_scenario(3, 20).event(8.0, Disturbance::StopProxy { proxy: 5, for_s: 6.0 }),
    ]);
    let spilled_counts: Vec<u64> = outcomes.iter().map(|o| o.verdict.regions[0].spilled).collect();
    assert!(spilled_counts.iter().all(|n| *n > 30), "something left in each: {spilled_counts:?}");
    let max_per_s: Vec<usize> = outcomes.iter().map(|o| o.verdict.regions[0].max_spilled_per_s).collect();
    assert!(max_per_s[0] > 10, "one sender finds the places of all gateways: {max_per_s:?}");
}
