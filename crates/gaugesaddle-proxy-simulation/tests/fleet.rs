//! A hundred proxies on sixty nodes: a quarter of them ill, then a third of the fleet lost. What each proxy does alone
//! is harmless; together they crowd what is left until it chokes.

use gaugesaddle_balancer::settings::{read, Key};
use gaugesaddle_balancer::LimitBounds;
use gaugesaddle_proxy_simulation::{simulate, Policy, Report};
use gaugesaddle_testbed::{Disturbance, Scenario};

fn many(mut s: Scenario) -> Scenario {
    s.seconds = 8.0;
    s.proxies = 100;
    (s.kinds[0].count, s.kinds[1].count) = (20, 40);
    s.clients.per_s = 1_800.0;
    s
}

fn play(s: &Scenario) -> Report {
    let four = LimitBounds { learned: false, ..LimitBounds::default() };
    simulate(s, Policy::Balancer(four), &[]).expect("covered")
}

/// A hall's twenty nodes die at three seconds and come back cold at six; hung ones take requests and answer none.
#[test]
fn a_lost_hall_does_not_crowd_the_rest_until_it_chokes() {
    let lost = (0..60).filter(|n| n % 3 == 0);
    let s = lost.fold(many(Scenario::default()), |s, node| {
        s.event(3.0, Disturbance::Crash { node, back_after_s: Some(3.0) })
    });
    let hung = (0..10).map(|i| i * 6 + 1);
    let s = hung.clone().fold(s, |s, node| s.event(1.0, Disturbance::Hang { node, for_s: 20.0 }));
    let report = play(&s);
    assert_eq!(report.chokes, hung.len() as u64, "those that hang, and none beside them");
    assert!(report.g > 0.9, "{:.3} of the worth in time; by second {:.2?}", report.g, report.seconds);
}

#[test]
fn a_calm_fleet_is_served_whole() {
    let report = play(&many(Scenario::default()));
    assert!(report.g > 0.95, "{:.3} of the worth in time", report.g);
    let most = report.max_in_flight.iter().max().copied().unwrap_or(0);
    assert!(most <= 14, "a node held {most} at once");
}

/// The backends are dealt out by these two: a proxy told wrong ones must not start.
#[test]
fn told_numbers_that_cannot_be_name_their_key() {
    let mut told = Scenario::default().settings(2);
    assert!(read(&Key::root(&told)).is_ok());
    for (key, value) in [("position", 7), ("position", 3), ("group_size", 0)] {
        let good = std::mem::replace(&mut told[key], value.into());
        let why = read(&Key::root(&told)).err().map(|e| e.to_string()).unwrap_or_default();
        assert!(why.starts_with(&format!("{key}: expected ")) && why.ends_with(&value.to_string()), "{why}");
        told[key] = good;
    }
}

/// Proxies whose traffic is uneven as 1 to 5, and which know one another.
fn uneven(proxies: usize, per_s: f64, by_need: bool, killed: &[usize]) -> Report {
    let mut s = many(Scenario { proxies, peers: by_need, demand_allocation: by_need, ..Scenario::default() });
    (s.proxies, s.clients.per_s) = (proxies, per_s);
    let s = killed.iter().fold(s, |s, proxy| s.event(3.0, Disturbance::LoseProxy { proxy: *proxy }));
    let traffic: Vec<f64> = (0..proxies).map(|p| 1.0 + (p % 5) as f64).collect();
    let four = LimitBounds { learned: false, ..LimitBounds::default() };
    simulate(&s, Policy::Balancer(four), &traffic).expect("covered")
}

#[test]
fn parts_by_need_serve_uneven_traffic_and_what_the_killed_leave_behind() {
    let need = uneven(100, 2_800.0, true, &[]);
    assert!(need.g > 0.985, "{:.4} of the worth in time", need.g);
    assert_eq!(need.chokes, 0);
    let killed: Vec<usize> = (0..100).filter(|p| p % 3 != 0).collect();
    let (even, need) = (uneven(100, 2_800.0, false, &killed), uneven(100, 2_800.0, true, &killed));
    assert!(need.g > 0.98 && need.g > even.g + 0.03, "{:.4} by need, {:.4} by even parts", need.g, even.g);
    assert!(need.seconds[6..].iter().all(|g| *g > 0.97), "{:.3?}", need.seconds);
    assert_eq!(need.chokes, 0);
}
