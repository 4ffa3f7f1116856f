use super::*;
use crate::plan::plan;
use proptest::prelude::*;

#[test]
fn a_plan_comes_through_right_to_a_255th() {
    let needs = vec![vec![60.0, 20.0, 100.0], vec![10.0, 5.0, 20.0], vec![0.0, 0.0, 0.0]];
    let worth = [1.0, 8.0, 0.5];
    let p = plan(0.8, &needs, &[100.0, 60.0, 10.0], &worth);
    let order = [1, 0, 2];
    let number = Number { epoch: 7, round: 2 };
    let d = Decision::of(number, 3, &p, &[1.0, 0.5, 0.125], &order).expect("three zones");
    let got = Decision::decode(&d.encode(), 3).expect("a decision");
    assert_eq!(got, d);
    for (z, near) in p.near.iter().enumerate() {
        for (rank, class) in order.iter().enumerate() {
            assert!((got.zones[z].near.part(rank) - near[*class]).abs() < 0.003, "{z} {class}: {p:?}");
        }
    }
    for (rank, class) in order.iter().enumerate() {
        assert!((1.0 - got.placed.part(rank) - p.away[*class]).abs() < 0.003, "{p:?}");
    }
    assert_eq!(got.zones[2].trust, 32);
    assert!(d.encode().len() <= DECISION_BYTES && DECISION_BYTES <= 64);
    assert!(Decision::of(number, 3, &p, &[1.0], &order).is_none());
}

#[test]
fn a_greater_sides_epoch_counts_over_any_round_of_a_smaller_one() {
    let with = |epoch, round, by| Decision { number: Number { epoch, round }, by, ..Decision::default() };
    assert!(with(4, 0, 9).over(&with(3, 900, 0)));
    assert!(with(3, 2, 9).over(&with(3, 1, 0)));
    assert!(with(3, 2, 0).over(&with(3, 2, 1)) && !with(3, 2, 1).over(&with(3, 2, 1)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn any_bytes_are_a_decision_that_reads_back_or_none(
        bytes in prop::collection::vec(any::<u8>(), 0..60), zones in 0usize..10, tag in any::<bool>()
    ) {
        let mut bytes = bytes;
        if let Some(first) = bytes.first_mut().filter(|_| tag) {
            *first = TAG;
        }
        if let Some(count) = bytes.get_mut(12).filter(|_| tag) {
            *count = zones as u8;
        }
        if let Some(decision) = Decision::decode(&bytes, zones) {
            prop_assert_eq!(decision.encode(), bytes);
        }
    }
}
