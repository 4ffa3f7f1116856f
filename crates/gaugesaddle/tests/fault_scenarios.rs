//! The auditor's four rules under faults: proxy processes among simulated nodes. The auditor of the test bed must have
//! enough records for a verdict and no findings.

use gaugesaddle_testbed::scenario::{Clients, Kind};
use gaugesaddle_testbed::{program, run, Disturbance, Outcome, Program, ProxyImplementation, Scenario};

/// Three proxies and nine nodes at moderate load.
fn small_scenario(name: &str, seed: u64) -> Scenario {
    let defaults = Scenario::default();
    let clients = Clients { per_s: 90.0, ..defaults.clients.clone() };
    let kind = |name: &str, count, speed| Kind { name: name.into(), count, speed, ..Kind::default() };
    let kinds = vec![kind("fast", 3, 1.8), kind("slow", 6, 0.9)];
    Scenario { seconds: 6.0, clients, kinds, ..defaults }.seed(seed).named(name)
}

fn run_scenario(s: &Scenario) -> Outcome {
    let program = Program { path: program::path("gaugesaddle"), arguments: Vec::new() };
    run(s, &ProxyImplementation::Program(program), &mut |_| {}).expect("the scenario runs")
}

/// Scenarios that run concurrently: each is mostly idle, but two cores sustain no more.
const PARALLEL_RUNS: usize = 7;

/// Runs all scenarios and requires of each a clean verdict, no node overloaded during slow start, no error in the
/// logs, and at least the given fraction of the requested weight served in time.
fn assert_all_clean(scenarios: Vec<(Scenario, f64)>) {
    let mut failed = Vec::new();
    for group in scenarios.chunks(PARALLEL_RUNS) {
        let threads: Vec<_> = group
            .iter()
            .cloned()
            .map(|(s, min_g)| {
                std::thread::spawn(move || {
                    let outcome = run_scenario(&s);
                    let verdict = &outcome.verdict;
                    let good = verdict.is_clean() && verdict.overload_crashes == 0 && verdict.g >= min_g;
                    let errors = outcome.logs.iter().flatten().filter(|l| l.contains("ERROR"));
                    let errors = errors.cloned().collect::<Vec<_>>();
                    let report = || format!("{}, seed {}:\n{verdict}{}", s.name, s.seed, errors.join("\n"));
                    (!good || !errors.is_empty()).then(report)
                })
            })
            .collect();
        failed.extend(
            threads.into_iter().filter_map(|t| t.join().expect("the scenario thread does not panic")),
        );
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Faults of nodes. The minimum fraction served is far below what a fleet usually serves under these faults: the test
/// checks the auditor's rules, and that service does not collapse.
#[test]
fn the_audit_is_clean_while_nodes_join_leave_and_fail() {
    let crash = Disturbance::Crash { node: 1, back_after_s: Some(1.0) };
    let hang = Disturbance::Hang { node: 4, for_s: 2.0 };
    let deploy = Disturbance::Deploy { nodes: 4, group: 1, every_s: 0.8 };
    assert_all_clean(vec![
        (small_scenario("calm", 1), 0.95),
        (small_scenario("crash", 2).event(1.0, crash.clone()), 0.7),
        (
            small_scenario("two crashes", 3)
                .event(1.0, crash)
                .event(1.5, Disturbance::Crash { node: 5, back_after_s: None }),
            0.7,
        ),
        (
            small_scenario("drain", 4)
                .event(0.8, Disturbance::Drain { node: 0, over_s: 3.0, back_after_s: Some(0.2) }),
            0.7,
        ),
        (small_scenario("deploy", 5).event(0.5, deploy.clone()), 0.7),
        (
            small_scenario("deploy in pairs", 6)
                .event(0.5, Disturbance::Deploy { nodes: 6, group: 2, every_s: 1.5 }),
            0.6,
        ),
        (small_scenario("shrink", 7).event(0.5, Disturbance::Shrink { nodes: 4, over_s: 2.0 }), 0.6),
        (small_scenario("hang", 8).event(1.0, hang.clone()), 0.7),
        (small_scenario("slow", 9).event(1.0, Disturbance::Slow { node: 0, factor: 8.0, for_s: 3.0 }), 0.7),
        (
            small_scenario("malformed answers", 10)
                .event(0.5, Disturbance::Spoil { node: 2, fraction: 0.3, for_s: 4.0 }),
            0.7,
        ),
        (
            small_scenario("resets", 11)
                .event(0.5, Disturbance::Resets { node: 3, fraction: 0.3, for_s: 4.0 }),
            0.7,
        ),
        (small_scenario("zone outage", 12).event(1.0, Disturbance::ZoneOutage { zone: 1, for_s: 2.0 }), 0.4),
        (
            small_scenario("burst during a deploy", 13)
                .event(0.5, deploy)
                .event(2.0, Disturbance::Burst { factor: 3.0, for_s: 1.5 }),
            0.3,
        ),
        (
            small_scenario("hang during a burst", 14)
                .event(1.0, hang)
                .event(1.5, Disturbance::Burst { factor: 3.0, for_s: 1.0 }),
            0.3,
        ),
    ]);
}

/// Faults of proxies, links, discovery and clients.
#[test]
fn the_audit_is_clean_while_proxies_links_and_discovery_fail() {
    let with_slow_clients = |mut s: Scenario| {
        (s.clients.slow_writing, s.clients.slow_reading, s.clients.leaving) = (0.2, 0.2, 0.1);
        s
    };
    let with_single_requests = |mut s: Scenario| {
        (s.clients.single_request, s.limits.sockets, s.clients.connections) = (0.9, 192, 64);
        s
    };
    let polled = |mut s: Scenario| {
        s.discovery.polled = true;
        s
    };
    let cut = Disturbance::LinkPartition { proxy: 0, node: 0, for_s: 2.0 };
    let delay = Disturbance::Delay { proxy: 1, node: 1, by_ms: 40.0, for_s: 3.0 };
    let kill = Disturbance::KillProxy { proxy: 0, back_after_s: 1.0 };
    // Discovery is down for 2.2 s, two of three proxies are killed meanwhile, and a deploy starts when it is back.
    let lost_and_back = small_scenario("most proxies killed while discovery is down, then a deploy", 32)
        .event(0.8, Disturbance::DiscoveryDown { for_s: 2.2 })
        .event(1.3, Disturbance::KillProxy { proxy: 0, back_after_s: 0.4 })
        .event(1.3, Disturbance::KillProxy { proxy: 2, back_after_s: 1.9 })
        .event(2.8, Disturbance::Deploy { nodes: 6, group: 2, every_s: 0.9 });
    let deploy = Disturbance::Deploy { nodes: 3, group: 1, every_s: 1.0 };
    assert_all_clean(
        vec![
            (small_scenario("a proxy killed", 21).event(1.5, kill.clone()), 0.7),
            (
                small_scenario("all proxies killed in turn", 22)
                    .event(0.5, kill)
                    .event(2.0, Disturbance::KillProxy { proxy: 1, back_after_s: 0.5 })
                    .event(3.5, Disturbance::KillProxy { proxy: 2, back_after_s: 0.5 }),
                0.6,
            ),
            (small_scenario("graceful restart", 23).event(1.0, Disturbance::RestartProxy { proxy: 1 }), 0.7),
            (
                small_scenario("restart during a deploy", 24)
                    .event(0.5, deploy.clone())
                    .event(1.0, Disturbance::RestartProxy { proxy: 0 }),
                0.6,
            ),
            (
                small_scenario("a proxy stopped", 25)
                    .event(1.0, Disturbance::StopProxy { proxy: 2, for_s: 2.0 }),
                0.3,
            ),
            (small_scenario("links cut and slow", 26).event(1.0, cut).event(1.0, delay), 0.6),
            (
                small_scenario("discovery down during a deploy", 27)
                    .event(0.3, deploy.clone())
                    .event(1.0, Disturbance::DiscoveryDown { for_s: 3.0 }),
                0.5,
            ),
            (
                small_scenario("discovery moved during a deploy", 28)
                    .event(0.3, deploy.clone())
                    .event(1.5, Disturbance::DiscoveryMove {}),
                0.6,
            ),
            (small_scenario("polled discovery", 29).event(0.5, deploy), 0.6),
            (lost_and_back, 0.4),
            (with_slow_clients(small_scenario("slow and disconnecting clients", 30)), 0.6),
            (with_single_requests(small_scenario("single-request clients that stay connected", 31)), 0.8),
        ]
        .into_iter()
        .map(|(s, min_g)| if s.name == "polled discovery" { (polled(s), min_g) } else { (s, min_g) })
        .collect(),
    );
}
