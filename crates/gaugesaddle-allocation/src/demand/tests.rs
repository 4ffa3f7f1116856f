use super::*;
use proptest::prelude::*;

fn all(needs: &[f64]) -> Vec<Option<f64>> {
    needs.iter().copied().map(Some).collect()
}

#[test]
fn parts_follow_needs_from_a_floor_up_to_a_bound() {
    let law = AllocationLimits::default();
    let close = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(allocate_by_demand(&law, &[]).is_empty());
    assert_eq!(allocate_by_demand(&law, &[Some(3.0)]), [1.0]);
    let even = allocate_by_demand(&law, &[None, None, Some(0.0), Some(f64::NAN)]);
    assert!(even.iter().all(|p| close(*p, 0.25)), "{even:?}");
    let uneven = allocate_by_demand(&law, &all(&[1.0, 5.0, 2.0]));
    assert!(close(uneven[1], 0.1 / 3.0 + 0.9 * 5.0 / 8.0), "{uneven:?}");
    let newcomer = allocate_by_demand(&law, &[Some(10.0), Some(20.0), None]);
    assert!(close(newcomer[2], 1.0 / 3.0), "the mean: {newcomer:?}");
    let mut needs = vec![1.0; 30];
    needs[7] = 1e300;
    let liar = allocate_by_demand(&law, &all(&needs));
    assert!(close(liar[7], 0.1 / 30.0 + 0.9 * 8.0 / 30.0), "{}", liar[7]);
    assert!(liar[0] > 0.75 / 30.0, "what the others keep: {}", liar[0] * 30.0);
}

#[test]
fn a_need_stands_in_chance_and_follows_what_is_more() {
    let mut need = DemandEstimator::default();
    assert!((1..7).all(|_| need.record(5, 0.5).is_none()), "it has just come");
    assert_eq!(need.record(5, 0.5), Some(10.0));
    let mut told = |came: u32| need.record(came, 0.5).expect("it knows");
    assert!([7, 3, 6, 4, 5, 8, 2, 5].into_iter().all(|came| told(came) == 10.0), "so many are chance");
    let more: Vec<f64> = (0..10).map(|_| told(25)).collect();
    assert!(more[3] > 30.0 && more[9] > 40.0, "{more:?}");
    assert!(more.windows(2).all(|w| w[0] <= w[1]));
    let idle: Vec<f64> = (0..30).map(|_| told(0)).collect();
    assert!(idle[29] < 2.5, "{idle:?}");
    assert!(need.record(u32::MAX, 0.0).is_some_and(f64::is_finite));
}

#[test]
fn a_glide_ignores_noise_and_arrives() {
    let mut part = SmoothedValue::new(Time(0), 0.1, 0.1, Micros(1_000_000));
    part.set_target(Time(0), 0.105);
    assert_eq!(part.value(Time(60_000_000)), 0.1);
    part.set_target(Time(1_000_000), 0.2);
    assert!(part.value(Time(1_000_000)) < 0.1001);
    let third = part.value(Time(2_000_000));
    assert!((0.16..0.17).contains(&third), "{third}");
    assert!(part.value(Time(20_000_000)) > 0.1999);
    // An earlier moment than the last changes nothing.
    part.set_target(Time(500_000), 0.2);
    assert!(part.value(Time(1_000_000)) < 0.1001);
}

/// The same, by the plainest way: cut what is over, deal it out again, until nothing is over.
fn reference(wants: &[f64], most: f64) -> Vec<f64> {
    let mut parts: Vec<f64> = wants.iter().map(|w| w / wants.iter().sum::<f64>()).collect();
    for _ in 0..10_000 {
        let over: f64 = parts.iter().map(|p| (p - most).max(0.0)).sum();
        if over < 1e-13 {
            break;
        }
        parts.iter_mut().for_each(|p| *p = p.min(most));
        let free: f64 = parts.iter().filter(|p| **p < most).sum();
        parts.iter_mut().filter(|p| **p < most).for_each(|p| *p += over * *p / free);
    }
    parts
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn whatever_is_said_the_parts_sum_to_the_whole_within_floor_and_bound(
        needs in prop::collection::vec(prop::option::of(prop::num::f64::ANY), 1..300)
    ) {
        let law = AllocationLimits::default();
        let parts = allocate_by_demand(&law, &needs);
        let n = needs.len() as f64;
        prop_assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        prop_assert!(parts.iter().all(|p| *p >= law.floor / n - 1e-12));
        let most = law.floor / n + (1.0 - law.floor) * (law.max_multiple / n).min(1.0);
        prop_assert!(parts.iter().all(|p| *p <= most + 1e-9));
    }

    #[test]
    fn parts_are_those_of_the_plain_way(needs in prop::collection::vec(0.01f64..100.0, 9..200)) {
        let law = AllocationLimits { floor: 0.0, ..AllocationLimits::default() };
        let expected = reference(&needs, law.max_multiple / needs.len() as f64);
        let got = allocate_by_demand(&law, &all(&needs));
        for (got, expected) in got.iter().zip(&expected) {
            prop_assert!((got - expected).abs() < 1e-6, "{got} for {expected}");
        }
    }

    /// Views that differ by one record differ little: nobody else's part moves by more than that record's.
    #[test]
    fn one_record_more_or_less_moves_others_by_no_more_than_its_own(
        needs in prop::collection::vec(0.0f64..100.0, 2..100), at in 0usize..100, new in 0.0f64..100.0
    ) {
        let at = at % needs.len();
        let mut other = needs.clone();
        other[at] = new;
        let (one, two) = (allocate_by_demand(&AllocationLimits::default(), &all(&needs)), allocate_by_demand(&AllocationLimits::default(), &all(&other)));
        let own = (one[at] - two[at]).abs();
        let moved: f64 = (0..needs.len()).filter(|i| *i != at).map(|i| (one[i] - two[i]).abs()).sum();
        prop_assert!(moved <= own + 1e-9, "{moved} for {own}");
    }
}
