//! The scenarios of the measurement: proxies killed, uneven traffic, growth, a lost region, and random combinations of
//! faults.

use gaugesaddle_testbed::hunt;
use gaugesaddle_testbed::random::mix;
use gaugesaddle_testbed::scenario::{Clients, Kind, Regions};
use gaugesaddle_testbed::{Disturbance, Scenario};

fn base(seed: u64, by_demand: bool, per_s: f64) -> Scenario {
    let clients = Clients { per_s, leaving: 0.0, ..Clients::default() };
    Scenario {
        seed,
        proxies: 48,
        peers: by_demand,
        demand_allocation: by_demand,
        seconds: 20.0,
        clients,
        ..Scenario::default()
    }
}

fn killed(seed: u64, by_demand: bool) -> Scenario {
    let lost = (0..48).filter(|p| p % 3 != 0);
    lost.fold(base(seed, by_demand, 400.0), |s, proxy| s.event(2.0, Disturbance::LoseProxy { proxy }))
}

fn uneven(seed: u64, by_demand: bool, weights: &[f64]) -> Scenario {
    let mut s = base(seed, by_demand, 480.0);
    s.clients.uneven = weights.to_vec();
    s
}

/// Two regions of three proxies and six nodes each, with about 70 requests a second each and a forwarding limit of the
/// same rate; all zones of the first fail for 10 s. With `killed`, two of its three proxies are killed before.
pub(super) fn region(seed: u64, by_demand: bool, killed: bool) -> Scenario {
    let kinds = vec![
        Kind { name: "fast".into(), count: 4, speed: 1.8, ..Kind::default() },
        Kind { name: "slow".into(), count: 8, speed: 0.9, ..Kind::default() },
    ];
    let clients = Clients { per_s: 140.0, leaving: 0.0, ..Clients::default() };
    let regions = Regions { count: 2, per_s: 70, in_flight: 120, ..Regions::default() };
    let s = Scenario {
        seed,
        seconds: 26.0,
        proxies: 6,
        zones: 4,
        kinds,
        clients,
        regions,
        peers: by_demand,
        demand_allocation: by_demand,
        ..Scenario::default()
    };
    let zones = (0..4).filter(|h| h % 2 == 0);
    let s = zones.fold(s, |s, zone| s.event(12.0, Disturbance::ZoneOutage { zone, for_s: 10.0 }));
    let lost = [2, 4].into_iter().filter(|_| killed);
    lost.fold(s, |s, proxy| s.event(8.0, Disturbance::LoseProxy { proxy }))
}

/// A tier that grows from 3 to 30 proxies over nine seconds, and shrinks back to 3.
fn growing(seed: u64, by_demand: bool) -> Scenario {
    let s = Scenario { proxies: 30, seconds: 32.0, ..base(seed, by_demand, 250.0) };
    let s = (3..30).fold(s, |s, proxy| s.event(5.0 + proxy as f64 / 3.0, Disturbance::JoinProxy { proxy }));
    (3..30).fold(s, |s, proxy| s.event(18.0 + proxy as f64 / 3.0, Disturbance::LeaveProxy { proxy }))
}

/// A random combination of faults, to check the limits that must never be exceeded. Every second seed has two regions,
/// one of which loses its zones; on every third seed half of the nodes crash at about 3 s and restart cold 1 s later.
pub(super) fn fault_combination(seed: u64) -> Scenario {
    let regions = seed % 2 == 1;
    let mut s = hunt::draw_scenario_on(mix(77, seed), |s| {
        s.demand_allocation = true;
        if regions {
            s.proxies -= s.proxies % 2;
            s.zones = 4;
            s.regions = Regions { count: 2, per_s: 30, in_flight: 60, ..Regions::default() };
        }
    });
    s.name = format!("hard-{seed}");
    if regions {
        let zones = [0, 2].map(|zone| Disturbance::ZoneOutage { zone, for_s: 5.0 });
        s = zones.into_iter().fold(s, |s, disturbance| s.event(4.0, disturbance));
    }
    if seed % 3 == 0 {
        let nodes: usize = s.kinds.iter().map(|k| k.count).sum();
        s = (0..nodes).filter(|n| n % 2 == 0).fold(s, |s, node| {
            s.event(3.0 + (node % 3) as f64 / 10.0, Disturbance::Crash { node, back_after_s: Some(1.0) })
        });
    }
    s
}

/// The cases of a lost region: name, allocation by demand, and whether two of its three proxies are killed.
pub(super) const REGIONS: [(&str, bool, bool); 4] = [
    ("region lost, even parts, all alive", false, false),
    ("region lost, even parts, two of three killed", false, true),
    ("region lost, by need, all alive", true, false),
    ("region lost, by need, two of three killed", true, true),
];

/// The cases measured by the weight served in time.
pub(super) fn cases(seed: u64) -> [(&'static str, Scenario); 7] {
    let evenly = [1.0, 1.0];
    let one_to_five = [1.0, 2.0, 3.0, 4.0, 5.0];
    [
        ("killed, even parts", killed(seed, false)),
        ("killed, by need", killed(seed, true)),
        ("even traffic, by need", uneven(seed, true, &evenly)),
        ("uneven traffic, even parts", uneven(seed, false, &one_to_five)),
        ("uneven traffic, by need", uneven(seed, true, &one_to_five)),
        ("growing, even parts", growing(seed, false)),
        ("growing, by need", growing(seed, true)),
    ]
}
