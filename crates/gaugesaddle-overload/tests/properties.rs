//! Guards against: a storm that is missed or invented, and decisions out of their bounds under any history.

use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_overload::{
    OverloadController, RetryAccounting, RetrySchedule, Settings, StormDetector, StormPhase, TrafficCounts,
};
use proptest::prelude::*;

fn at(ms: u64) -> Time {
    Time(1_700_000_000_000_000 + ms * 1000)
}

/// A quarter of a second of traffic.
fn quarter(asked: u32, retries: u32, served: u32, refused: u32) -> TrafficCounts {
    TrafficCounts {
        requests: asked,
        retries,
        within_objective: served,
        refused,
        connects: asked,
        attempts: served,
        ..TrafficCounts::default()
    }
}

/// States with the time at which each began.
fn states(quarters: impl Iterator<Item = TrafficCounts>) -> Vec<(u64, StormPhase)> {
    let mut detector = StormDetector::default();
    detector.observe(at(0), &TrafficCounts::default());
    let looks = quarters.enumerate().filter_map(|(i, q)| {
        let ms = (i as u64 + 1) * 250;
        detector.observe(at(ms), &q).map(|state| (ms, state))
    });
    looks.collect()
}

#[test]
fn a_storm_is_detected_within_a_second_and_ends_when_it_has_passed() {
    let calm = std::iter::repeat_n(quarter(25, 1, 24, 0), 80);
    let storm = std::iter::repeat_n(quarter(200, 160, 30, 170), 20);
    let after = std::iter::repeat_n(quarter(25, 1, 24, 0), 80);
    let seen = states(calm.chain(storm).chain(after));
    let names: Vec<StormPhase> = seen.iter().map(|s| s.1).collect();
    assert_eq!(names, [StormPhase::Rising, StormPhase::Storm, StormPhase::Recovering, StormPhase::Calm]);
    assert!(seen[1].0 - 20_000 <= 1000, "{seen:?}");
    assert!(seen[3].0 - 25_000 <= 14_000, "{seen:?}");
}

#[test]
fn growth_without_retries_is_no_storm() {
    let calm = std::iter::repeat_n(quarter(25, 1, 24, 0), 80);
    // Ten times the rate at once, hardly a repeat, much of it refused at first.
    let growth = std::iter::repeat_n(quarter(250, 12, 180, 60), 80);
    assert_eq!(states(calm.chain(growth)), []);
}

#[test]
fn without_memory_a_storm_is_detected_by_refusals() {
    let seen = states(std::iter::repeat_n(quarter(200, 160, 30, 170), 8));
    assert_eq!(seen.iter().map(|s| s.1).collect::<Vec<_>>(), [StormPhase::Rising, StormPhase::Storm]);
}

#[test]
fn two_storms_half_a_minute_apart_are_two() {
    let calm = |n| std::iter::repeat_n(quarter(25, 1, 24, 0), n);
    let storm = || std::iter::repeat_n(quarter(200, 160, 30, 170), 12);
    let seen = states(calm(80).chain(storm()).chain(calm(120)).chain(storm()).chain(calm(80)));
    assert_eq!(seen.iter().filter(|s| s.1 == StormPhase::Storm).count(), 2, "{seen:?}");
}

/// Refused clients are told moments of which no second holds more than can be served, while there is such a second.
#[test]
fn retries_are_spread_within_the_rate() {
    let mut retry_schedule = RetrySchedule::new(60, 7);
    let record_advice: Vec<u64> = (0..5000).map(|_| retry_schedule.assign(at(0), 100.0)).collect();
    let count = |s: u64| record_advice.iter().filter(|t| **t == s).count();
    assert!((1..=60).all(|s| count(s) <= 100), "no second over the rate");
    assert!(*record_advice.iter().max().unwrap() >= 50, "as wide as it takes");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn delays_are_bounded_and_no_second_is_overfilled_beside_a_free_one(
        max_delay_s in 1u64..40, rate in 1.0f64..50.0, gaps in prop::collection::vec(0u64..400, 1..400), seed: u64,
    ) {
        let (mut retry_schedule, mut now) = (RetrySchedule::new(max_delay_s, seed), 0);
        for gap in gaps {
            now += gap;
            let room = rate as u32;
            let free = (1..=max_delay_s).any(|s| retry_schedule.assigned(at(now), s) < room);
            let after = retry_schedule.assign(at(now), rate);
            prop_assert!((1..=max_delay_s).contains(&after));
            let full = retry_schedule.assigned(at(now), after) > room;
            prop_assert!(!(free && full), "second {after} overfilled beside a free one");
        }
    }

    #[test]
    fn no_phase_ends_before_its_minimum_time(quarters in prop::collection::vec((0u32..300, 0.0f64..1.0, 0.0f64..1.0), 1..400)) {
        let seconds = quarters.into_iter().map(|(asked, retries, refused)| {
            let refused = (f64::from(asked) * refused) as u32;
            quarter(asked, (f64::from(asked) * retries) as u32, asked - refused, refused)
        });
        let seen = states(seconds);
        for pair in seen.windows(2) {
            let least = match pair[0].1 {
                StormPhase::Storm => 3000,
                StormPhase::Rising | StormPhase::Recovering => 400,
                StormPhase::Calm => 0,
            };
            prop_assert!(pair[1].0 - pair[0].0 >= least, "{pair:?}");
        }
    }

    #[test]
    fn accounting_is_bounded_and_blames_only_advised_sources(
        max_sources in 1usize..20, steps in prop::collection::vec((0u64..40, 0u64..5000, any::<bool>()), 1..300),
    ) {
        let (mut accounting, mut record_advice) = (RetryAccounting::new(max_sources), std::collections::BTreeSet::new());
        for (i, (source, retry_at, tell)) in steps.into_iter().enumerate() {
            let now = at(i as u64 * 10);
            if tell {
                accounting.record_advice(source, now + Micros(retry_at * 1000));
                record_advice.insert(source);
            } else {
                let returns_early = accounting.record_request(now, source);
                prop_assert!(!returns_early || record_advice.contains(&source));
            }
            prop_assert!(accounting.len() <= max_sources);
        }
    }

    #[test]
    fn the_admitted_rate_is_finite_and_nothing_panics(
        steps in prop::collection::vec((0u8..7, 0u64..600, any::<u64>()), 1..500),
    ) {
        let mut storm = OverloadController::new(Settings { max_delay_s: 30, sources: 16 }, 3).unwrap();
        let mut now = 0;
        for (what, gap, n) in steps {
            now += gap;
            match what {
                0 => { storm.record_arrival(at(now), n % 2 == 0, Some(n % 50), n % 30); }
                1 => storm.record_attempt(n % 2 == 0),
                2 => storm.record_success(n % 2 == 0),
                3 => storm.record_failure(),
                4 => storm.record_connection(),
                5 => prop_assert!((1..=30).contains(&storm.record_refusal(at(now), n % 30, 2))),
                _ => { storm.observe(at(now)); }
            }
            prop_assert!(storm.admitted_per_s().is_none_or(|r| r.is_finite() && r >= 1.0));
            prop_assert!(storm.admitted_per_s().is_none() || storm.phase().is_damping());
        }
    }
}
