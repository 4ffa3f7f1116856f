//! The scenarios of the measurement: the loss of all zones of a region, and ten fault cases.

use gaugesaddle_testbed::scenario::{Clients, Kind, Regions};
use gaugesaddle_testbed::{Disturbance, Scenario};

/// Time at which the zones of the region are lost.
pub(super) const LOST_AT_S: f64 = 4.0;

/// Duration of the loss.
pub(super) const LOST_FOR_S: f64 = 10.0;

const SECONDS: f64 = 30.0;

/// `count` regions of two zones, two proxies and six nodes each, at a third of their capacity.
pub(super) fn base(seed: u64, count: usize) -> Scenario {
    let kinds = vec![
        Kind { name: "fast".into(), count: 2 * count, speed: 1.8, ..Kind::default() },
        Kind { name: "slow".into(), count: 4 * count, speed: 0.9, ..Kind::default() },
    ];
    let clients = Clients { per_s: 70.0 * count as f64, ..Clients::default() };
    let regions = Regions { count, per_s: 120, in_flight: 120, ..Regions::default() };
    let zones = 2 * count;
    Scenario { seconds: SECONDS, proxies: 2 * count, zones, kinds, clients, regions, ..Scenario::default() }
        .seed(seed)
}

/// Adds the simultaneous outage of all zones of the first region.
pub(super) fn lose_first_region(s: Scenario, at: f64, for_s: f64) -> Scenario {
    let zones: Vec<usize> = (0..s.zones).filter(|h| s.region(*h) == 0).collect();
    zones.into_iter().fold(s, |s, zone| s.event(at, Disturbance::ZoneOutage { zone, for_s }))
}

/// The fault cases by number; the parameters vary with the seed.
pub(super) fn fault_case(case: u64, seed: u64) -> (&'static str, Scenario) {
    let s = base(1000 + seed, 2);
    let shorten = |s: Scenario| Scenario { seconds: 12.0, ..s };
    match case {
        0 => ("both lost at once", {
            let s = shorten(lose_first_region(s, 2.0, 5.0));
            let zones: Vec<usize> = (0..s.zones).filter(|h| s.region(*h) == 1).collect();
            zones.into_iter().fold(s, |s, zone| s.event(2.5, Disturbance::ZoneOutage { zone, for_s: 5.0 }))
        }),
        1 => ("three in a ring, two lost", {
            let mut s = shorten(lose_first_region(base(1000 + seed, 3), 2.0, 6.0));
            s.regions.hops = 2;
            let zones: Vec<usize> = (0..s.zones).filter(|h| s.region(*h) == 1).collect();
            zones.into_iter().fold(s, |s, zone| s.event(3.0, Disturbance::ZoneOutage { zone, for_s: 4.0 }))
        }),
        2 => ("a way that takes most of a vote's time", {
            let mut s = shorten(lose_first_region(s, 2.0, 6.0));
            s.regions.way_ms = 90.0;
            s
        }),
        3 => ("gateways killed with requests on them", {
            let s = shorten(lose_first_region(s, 2.0, 7.0))
                .event(4.0, Disturbance::KillProxy { proxy: 1, back_after_s: 1.0 });
            s.event(6.0, Disturbance::KillProxy { proxy: 3, back_after_s: 1.0 })
        }),
        4 => (
            "the link alive and silent",
            shorten(lose_first_region(s, 2.0, 7.0)).event(4.0, Disturbance::RegionPartition { for_s: 2.0 }),
        ),
        5 => ("the way grows tenfold within a second", {
            shorten(lose_first_region(s, 2.0, 7.0))
                .event(4.0, Disturbance::RegionDelay { by_ms: 90.0, for_s: 2.5 })
        }),
        6 => ("a budget far too small", {
            let mut s = shorten(lose_first_region(s, 2.0, 6.0));
            (s.regions.per_s, s.regions.in_flight) = (7 + (seed % 5) as u32, 4);
            s
        }),
        7 => (
            "a fleet that flickers",
            (0..4).fold(shorten(s), |s, n| lose_first_region(s, 1.5 + f64::from(n) * 2.5, 0.9)),
        ),
        8 => ("back at once and cold, thrice the requests", {
            shorten(lose_first_region(s, 2.0, 4.0)).event(5.5, Disturbance::Burst { factor: 2.0, for_s: 3.0 })
        }),
        _ => ("keys replaced, twice within a second among them", {
            let s = shorten(lose_first_region(s, 2.0, 7.0))
                .event(3.0, Disturbance::NewKeys { times: 8, every_s: 0.6 });
            s.event(4.3, Disturbance::NewKeys { times: 1, every_s: 1.0 })
        }),
    }
}

/// Number of fault cases.
pub(super) const CASE_COUNT: u64 = 10;
