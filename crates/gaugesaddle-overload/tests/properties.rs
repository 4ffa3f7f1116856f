//! Guards against storms that are missed or falsely detected, and against decisions out of their bounds after any history.

use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_overload::{
    OverloadController, RetryAccounting, RetrySchedule, Settings, StormDetector, StormPhase, TrafficCounts,
};
use proptest::prelude::*;

fn at(ms: u64) -> Time {
    Time(1_700_000_000_000_000 + ms * 1000)
}

/// The counts of a quarter of a second.
fn quarter(requests: u32, retries: u32, served: u32, refused: u32) -> TrafficCounts {
    TrafficCounts {
        requests,
        retries,
        within_objective: served,
        refused,
        connects: requests,
        attempts: served,
        ..TrafficCounts::default()
    }
}

/// The phases, each with the time in milliseconds at which it began.
fn phases(quarters: impl Iterator<Item = TrafficCounts>) -> Vec<(u64, StormPhase)> {
    let mut detector = StormDetector::default();
    detector.observe(at(0), &TrafficCounts::default());
    let changes = quarters.enumerate().filter_map(|(i, q)| {
        let ms = (i as u64 + 1) * 250;
        detector.observe(at(ms), &q).map(|phase| (ms, phase))
    });
    changes.collect()
}

#[test]
fn a_storm_is_detected_within_a_second_and_ends_when_it_has_passed() {
    let calm = std::iter::repeat_n(quarter(25, 1, 24, 0), 80);
    let storm = std::iter::repeat_n(quarter(200, 160, 30, 170), 20);
    let after = std::iter::repeat_n(quarter(25, 1, 24, 0), 80);
    let phase_changes = phases(calm.chain(storm).chain(after));
    let detected: Vec<StormPhase> = phase_changes.iter().map(|s| s.1).collect();
    assert_eq!(detected, [StormPhase::Rising, StormPhase::Storm, StormPhase::Recovering, StormPhase::Calm]);
    assert!(phase_changes[1].0 - 20_000 <= 1000, "{phase_changes:?}");
    assert!(phase_changes[3].0 - 25_000 <= 14_000, "{phase_changes:?}");
}

#[test]
fn growth_without_retries_is_no_storm() {
    let calm = std::iter::repeat_n(quarter(25, 1, 24, 0), 80);
    // Ten times the rate at once, with few retries and many refusals.
    let growth = std::iter::repeat_n(quarter(250, 12, 180, 60), 80);
    assert_eq!(phases(calm.chain(growth)), []);
}

#[test]
fn without_a_usual_rate_a_storm_is_detected_by_refusals() {
    let phase_changes = phases(std::iter::repeat_n(quarter(200, 160, 30, 170), 8));
    assert_eq!(
        phase_changes.iter().map(|s| s.1).collect::<Vec<_>>(),
        [StormPhase::Rising, StormPhase::Storm]
    );
}

#[test]
fn two_storms_half_a_minute_apart_are_detected_separately() {
    let calm = |n| std::iter::repeat_n(quarter(25, 1, 24, 0), n);
    let storm = || std::iter::repeat_n(quarter(200, 160, 30, 170), 12);
    let phase_changes = phases(calm(80).chain(storm()).chain(calm(120)).chain(storm()).chain(calm(80)));
    assert_eq!(phase_changes.iter().filter(|s| s.1 == StormPhase::Storm).count(), 2, "{phase_changes:?}");
}

/// No second is assigned more retries than can be served while another one has capacity.
#[test]
fn retries_are_spread_within_the_rate() {
    let mut retry_schedule = RetrySchedule::new(60, 7);
    let delays: Vec<u64> = (0..5000).map(|_| retry_schedule.assign(at(0), 100.0)).collect();
    let count = |s: u64| delays.iter().filter(|t| **t == s).count();
    assert!((1..=60).all(|s| count(s) <= 100), "no second exceeds the rate");
    assert!(*delays.iter().max().unwrap() >= 50, "the delays spread over as many seconds as needed");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn delays_are_bounded_and_no_second_exceeds_the_rate_while_another_is_free(
        max_delay_s in 1u64..40, rate in 1.0f64..50.0, gaps in prop::collection::vec(0u64..400, 1..400), seed: u64,
    ) {
        let (mut retry_schedule, mut now) = (RetrySchedule::new(max_delay_s, seed), 0);
        for gap in gaps {
            now += gap;
            let capacity = rate as u32;
            let has_free_second = (1..=max_delay_s).any(|s| retry_schedule.assigned(at(now), s) < capacity);
            let delay_s = retry_schedule.assign(at(now), rate);
            prop_assert!((1..=max_delay_s).contains(&delay_s));
            let is_overfilled = retry_schedule.assigned(at(now), delay_s) > capacity;
            prop_assert!(!(has_free_second && is_overfilled), "second {delay_s} exceeds the rate while another one is free");
        }
    }

    #[test]
    fn no_phase_ends_before_its_minimum_time(quarters in prop::collection::vec((0u32..300, 0.0f64..1.0, 0.0f64..1.0), 1..400)) {
        let seconds = quarters.into_iter().map(|(requests, retries, refused)| {
            let refused = (f64::from(requests) * refused) as u32;
            quarter(requests, (f64::from(requests) * retries) as u32, requests - refused, refused)
        });
        let phase_changes = phases(seconds);
        for pair in phase_changes.windows(2) {
            let min_ms = match pair[0].1 {
                StormPhase::Storm => 3000,
                StormPhase::Rising | StormPhase::Recovering => 400,
                StormPhase::Calm => 0,
            };
            prop_assert!(pair[1].0 - pair[0].0 >= min_ms, "{pair:?}");
        }
    }

    #[test]
    fn accounting_is_bounded_and_reports_only_advised_sources(
        max_sources in 1usize..20, steps in prop::collection::vec((0u64..40, 0u64..5000, any::<bool>()), 1..300),
    ) {
        let (mut accounting, mut advised) = (RetryAccounting::new(max_sources), std::collections::BTreeSet::new());
        for (i, (source, retry_at, is_advised)) in steps.into_iter().enumerate() {
            let now = at(i as u64 * 10);
            if is_advised {
                accounting.record_advice(source, now + Micros(retry_at * 1000));
                advised.insert(source);
            } else {
                let is_early = accounting.record_request(now, source);
                prop_assert!(!is_early || advised.contains(&source));
            }
            prop_assert!(accounting.len() <= max_sources);
        }
    }

    #[test]
    fn the_admitted_rate_is_finite_and_nothing_panics(
        steps in prop::collection::vec((0u8..7, 0u64..600, any::<u64>()), 1..500),
    ) {
        let mut controller = OverloadController::new(Settings { longest_s: 30, sources: 16 }, 3).unwrap();
        let mut now = 0;
        for (kind, gap, n) in steps {
            now += gap;
            match kind {
                0 => { controller.record_arrival(at(now), n % 2 == 0, Some(n % 50), n % 30); }
                1 => controller.record_attempt(n % 2 == 0),
                2 => controller.record_success(n % 2 == 0),
                3 => controller.record_failure(),
                4 => controller.record_connection(),
                5 => prop_assert!((1..=30).contains(&controller.record_refusal(at(now), n % 30, 2))),
                _ => { controller.observe(at(now)); }
            }
            prop_assert!(controller.admitted_per_s().is_none_or(|r| r.is_finite() && r >= 1.0));
            prop_assert!(controller.admitted_per_s().is_none() || controller.phase().is_damping());
        }
    }
}
