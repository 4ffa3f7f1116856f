use super::*;
use proptest::prelude::*;

fn reported(demands: &[f64]) -> Vec<Option<f64>> {
    demands.iter().copied().map(Some).collect()
}

#[test]
fn fractions_follow_demand_between_floor_and_maximum() {
    let limits = AllocationLimits::default();
    let close = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(allocate_by_demand(&limits, &[]).is_empty());
    assert_eq!(allocate_by_demand(&limits, &[Some(3.0)]), [1.0]);
    let equal = allocate_by_demand(&limits, &[None, None, Some(0.0), Some(f64::NAN)]);
    assert!(equal.iter().all(|p| close(*p, 0.25)), "{equal:?}");
    let uneven = allocate_by_demand(&limits, &reported(&[1.0, 5.0, 2.0]));
    assert!(close(uneven[1], 0.1 / 3.0 + 0.9 * 5.0 / 8.0), "{uneven:?}");
    let with_unreported = allocate_by_demand(&limits, &[Some(10.0), Some(20.0), None]);
    assert!(
        close(with_unreported[2], 1.0 / 3.0),
        "a demand that is not reported counts as the mean: {with_unreported:?}"
    );
    let mut demands = vec![1.0; 30];
    demands[7] = 1e300;
    let with_false_report = allocate_by_demand(&limits, &reported(&demands));
    assert!(close(with_false_report[7], 0.1 / 30.0 + 0.9 * 8.0 / 30.0), "{}", with_false_report[7]);
    assert!(
        with_false_report[0] > 0.75 / 30.0,
        "the others keep at least three quarters of an equal fraction: {}",
        with_false_report[0] * 30.0
    );
}

#[test]
fn a_reported_demand_ignores_noise_and_follows_a_change() {
    let mut estimator = DemandEstimator::default();
    assert!((1..7).all(|_| estimator.record(5, 0.5).is_none()), "too few observations");
    assert_eq!(estimator.record(5, 0.5), Some(10.0));
    let mut record = |arrivals: u32| estimator.record(arrivals, 0.5).expect("enough observations");
    assert!(
        [7, 3, 6, 4, 5, 8, 2, 5].into_iter().all(|arrivals| record(arrivals) == 10.0),
        "the reported demand stays within random variation"
    );
    let rising: Vec<f64> = (0..10).map(|_| record(25)).collect();
    assert!(rising[3] > 30.0 && rising[9] > 40.0, "{rising:?}");
    assert!(rising.windows(2).all(|w| w[0] <= w[1]));
    let idle: Vec<f64> = (0..30).map(|_| record(0)).collect();
    assert!(idle[29] < 2.5, "{idle:?}");
    assert!(estimator.record(u32::MAX, 0.0).is_some_and(f64::is_finite));
}

#[test]
fn a_smoothed_value_ignores_noise_and_reaches_its_target() {
    let mut smoothed = SmoothedValue::new(Time(0), 0.1, 0.1, Micros(1_000_000));
    smoothed.set_target(Time(0), 0.105);
    assert_eq!(smoothed.value(Time(60_000_000)), 0.1);
    smoothed.set_target(Time(1_000_000), 0.2);
    assert!(smoothed.value(Time(1_000_000)) < 0.1001);
    let after_one_time_constant = smoothed.value(Time(2_000_000));
    assert!((0.16..0.17).contains(&after_one_time_constant), "{after_one_time_constant}");
    assert!(smoothed.value(Time(20_000_000)) > 0.1999);
    // A time before the last update changes nothing.
    smoothed.set_target(Time(500_000), 0.2);
    assert!(smoothed.value(Time(1_000_000)) < 0.1001);
}

/// Reference: caps the fractions and distributes the excess again until no fraction exceeds the maximum.
fn reference(weights: &[f64], max: f64) -> Vec<f64> {
    let mut fractions: Vec<f64> = weights.iter().map(|w| w / weights.iter().sum::<f64>()).collect();
    for _ in 0..10_000 {
        let excess: f64 = fractions.iter().map(|p| (p - max).max(0.0)).sum();
        if excess < 1e-13 {
            break;
        }
        fractions.iter_mut().for_each(|p| *p = p.min(max));
        let uncapped_sum: f64 = fractions.iter().filter(|p| **p < max).sum();
        fractions.iter_mut().filter(|p| **p < max).for_each(|p| *p += excess * *p / uncapped_sum);
    }
    fractions
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn fractions_of_arbitrary_demands_sum_to_one_within_floor_and_maximum(
        demands in prop::collection::vec(prop::option::of(prop::num::f64::ANY), 1..300)
    ) {
        let limits = AllocationLimits::default();
        let fractions = allocate_by_demand(&limits, &demands);
        let count = demands.len() as f64;
        prop_assert!((fractions.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        prop_assert!(fractions.iter().all(|p| *p >= limits.floor / count - 1e-12));
        let max = limits.floor / count + (1.0 - limits.floor) * (limits.max_multiple / count).min(1.0);
        prop_assert!(fractions.iter().all(|p| *p <= max + 1e-9));
    }

    #[test]
    fn fractions_equal_those_of_the_reference(demands in prop::collection::vec(0.01f64..100.0, 9..200)) {
        let limits = AllocationLimits { floor: 0.0, ..AllocationLimits::default() };
        let expected = reference(&demands, limits.max_multiple / demands.len() as f64);
        let got = allocate_by_demand(&limits, &reported(&demands));
        for (got, expected) in got.iter().zip(&expected) {
            prop_assert!((got - expected).abs() < 1e-6, "expected {expected}, got {got}");
        }
    }

    /// Views that differ in one report: the fractions of the other members together move by no more than the fraction of
    /// the member that sent it.
    #[test]
    fn a_changed_report_moves_the_others_by_no_more_than_its_own_fraction(
        demands in prop::collection::vec(0.0f64..100.0, 2..100), changed in 0usize..100, new_demand in 0.0f64..100.0
    ) {
        let changed = changed % demands.len();
        let mut changed_demands = demands.clone();
        changed_demands[changed] = new_demand;
        let (before, after) = (allocate_by_demand(&AllocationLimits::default(), &reported(&demands)), allocate_by_demand(&AllocationLimits::default(), &reported(&changed_demands)));
        let own_change = (before[changed] - after[changed]).abs();
        let others_change: f64 = (0..demands.len()).filter(|i| *i != changed).map(|i| (before[i] - after[i]).abs()).sum();
        prop_assert!(others_change <= own_change + 1e-9, "the others move by {others_change}, the changed member by {own_change}");
    }
}
