//! Guards against proxies that together overload the remaining nodes: each proxy's own load is harmless, but after a
//! third of the nodes fails, a hundred proxies on sixty nodes can send the rest more than they can process until they
//! choke.

use gaugesaddle_balancer::settings::{read, Key};
use gaugesaddle_balancer::LimitBounds;
use gaugesaddle_proxy_simulation::{simulate, Policy, Report};
use gaugesaddle_testbed::{Disturbance, Scenario};

fn large_fleet(mut s: Scenario) -> Scenario {
    s.seconds = 8.0;
    s.proxies = 100;
    (s.kinds[0].count, s.kinds[1].count) = (20, 40);
    s.clients.per_s = 1_800.0;
    s
}

fn simulate_with_constant_limits(s: &Scenario) -> Report {
    let constant_limits = LimitBounds { learned: false, ..LimitBounds::default() };
    simulate(s, Policy::Balancer(constant_limits), &[]).expect("the events are supported")
}

/// The twenty nodes of a zone crash at 3 s and restart cold at 6 s; ten hung nodes accept requests and answer none.
#[test]
fn losing_a_zone_does_not_choke_the_remaining_nodes() {
    let lost = (0..60).filter(|n| n % 3 == 0);
    let s = lost.fold(large_fleet(Scenario::default()), |s, node| {
        s.event(3.0, Disturbance::Crash { node, back_after_s: Some(3.0) })
    });
    let hung = (0..10).map(|i| i * 6 + 1);
    let s = hung.clone().fold(s, |s, node| s.event(1.0, Disturbance::Hang { node, for_s: 20.0 }));
    let report = simulate_with_constant_limits(&s);
    assert_eq!(report.chokes, hung.len() as u64, "only the hung nodes choke");
    assert!(report.g > 0.9, "{:.3} of the weight served in time; by second {:.2?}", report.g, report.seconds);
}

#[test]
fn requests_are_served_in_time_without_faults() {
    let report = simulate_with_constant_limits(&large_fleet(Scenario::default()));
    assert!(report.g > 0.95, "{:.3} of the weight served in time", report.g);
    let max_in_flight = report.max_in_flight.iter().max().copied().unwrap_or(0);
    assert!(max_in_flight <= 14, "a node had {max_in_flight} requests at once, expected at most 14");
}

/// Backends are allocated by position and group size: a proxy with invalid ones must not start.
#[test]
fn invalid_group_settings_are_rejected_with_their_key() {
    let mut settings = Scenario::default().settings(2);
    assert!(read(&Key::root(&settings)).is_ok());
    for (key, value) in [("position", 7), ("position", 3), ("group_size", 0)] {
        let valid = std::mem::replace(&mut settings[key], value.into());
        let error = read(&Key::root(&settings)).err().map(|e| e.to_string()).unwrap_or_default();
        assert!(
            error.starts_with(&format!("{key}: expected ")) && error.ends_with(&value.to_string()),
            "{error}"
        );
        settings[key] = valid;
    }
}

/// Runs proxies whose traffic differs by up to 1 to 5, with allocation by demand or even allocation. The `killed` ones
/// end at 3 s.
fn simulate_uneven_traffic(proxies: usize, per_s: f64, by_demand: bool, killed: &[usize]) -> Report {
    let mut s = large_fleet(Scenario {
        proxies,
        peers: by_demand,
        demand_allocation: by_demand,
        ..Scenario::default()
    });
    (s.proxies, s.clients.per_s) = (proxies, per_s);
    let s = killed.iter().fold(s, |s, proxy| s.event(3.0, Disturbance::LoseProxy { proxy: *proxy }));
    let traffic: Vec<f64> = (0..proxies).map(|p| 1.0 + (p % 5) as f64).collect();
    let constant_limits = LimitBounds { learned: false, ..LimitBounds::default() };
    simulate(&s, Policy::Balancer(constant_limits), &traffic).expect("the events are supported")
}

#[test]
fn demand_allocation_serves_uneven_traffic_and_the_load_of_killed_proxies() {
    let demand = simulate_uneven_traffic(100, 2_800.0, true, &[]);
    assert!(demand.g > 0.985, "{:.4} of the weight served in time", demand.g);
    assert_eq!(demand.chokes, 0);
    let killed: Vec<usize> = (0..100).filter(|p| p % 3 != 0).collect();
    let (even, demand) = (
        simulate_uneven_traffic(100, 2_800.0, false, &killed),
        simulate_uneven_traffic(100, 2_800.0, true, &killed),
    );
    assert!(
        demand.g > 0.98 && demand.g > even.g + 0.03,
        "{:.4} by demand, {:.4} by even allocation",
        demand.g,
        even.g
    );
    assert!(demand.seconds[6..].iter().all(|g| *g > 0.97), "{:.3?}", demand.seconds);
    assert_eq!(demand.chokes, 0);
}
