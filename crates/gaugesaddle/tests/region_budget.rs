//! The per-second budget for requests from another region, which the receiving gateways lend to one another. Each
//! scenario has two regions of three proxies, loses all zones of one region and is judged by the records of the
//! simulated backends.

use gaugesaddle_testbed::program;
use gaugesaddle_testbed::scenario::{Clients, Kind, Regions};
use gaugesaddle_testbed::{run, Disturbance, Outcome, Program, ProxyImplementation, Scenario, Violation};

/// All zones of one region fail, and its demand exceeds the budget `per_s`. Proxies 0, 2 and 4 are in that region.
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
    let outcome = run(s, &ProxyImplementation::Program(proxy), &mut |_| {}).expect("the scenario runs");
    let over = outcome.verdict.findings.iter().any(|f| f.violation == Violation::OverBudget);
    assert!(!over, "the spilled requests exceed the budget: {}", outcome.verdict);
    assert!(outcome.is_clean(), "{}{}", outcome.verdict, outcome.tier.clone().unwrap_or_default());
    outcome
}

/// Runs all scenarios concurrently, each on its own loopback networks.
fn run_scenarios(scenarios: Vec<Scenario>) -> Vec<Outcome> {
    let threads: Vec<_> =
        scenarios.into_iter().map(|s| std::thread::spawn(move || run_scenario(&s))).collect();
    threads.into_iter().map(|t| t.join().expect("the scenario has no findings")).collect()
}

#[test]
fn the_inbound_budget_holds_while_proxies_of_either_region_die_stop_and_return() {
    let lose_proxy = |s: Scenario, proxy| s.event(5.0, Disturbance::LoseProxy { proxy });
    let outcomes = run_scenarios(vec![
        // Two of the three sending proxies are lost.
        lose_proxy(lose_proxy(region_loss_scenario(1, 20), 2), 4),
        // One receiving proxy is lost; another restarts before the budget that it lent expires.
        lose_proxy(region_loss_scenario(2, 20), 1)
            .event(9.0, Disturbance::KillProxy { proxy: 3, back_after_s: 0.5 }),
        // A receiving proxy is stopped until all budget that it borrowed or lent has expired.
        region_loss_scenario(3, 20).event(8.0, Disturbance::StopProxy { proxy: 5, for_s: 6.0 }),
    ]);
    let spilled_counts: Vec<u64> = outcomes.iter().map(|o| o.verdict.regions[0].spilled).collect();
    assert!(
        spilled_counts.iter().all(|n| *n > 30),
        "requests spill over in each scenario: {spilled_counts:?}"
    );
    let max_per_s: Vec<usize> = outcomes.iter().map(|o| o.verdict.regions[0].max_spilled_per_s).collect();
    assert!(max_per_s[0] > 10, "a single sender uses the budget of all gateways: {max_per_s:?}");
}
