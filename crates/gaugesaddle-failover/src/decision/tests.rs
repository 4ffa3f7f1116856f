use super::*;
use crate::plan::plan;
use proptest::prelude::*;

#[test]
fn a_plan_survives_encoding_to_within_one_255th() {
    let demand = vec![vec![60.0, 20.0, 100.0], vec![10.0, 5.0, 20.0], vec![0.0, 0.0, 0.0]];
    let p = plan(0.8, &demand, &[100.0, 60.0, 10.0], &[1.0, 8.0, 0.5]);
    let class_order = [1, 0, 2];
    let version = DecisionVersion { epoch: 7, revision: 2 };
    let decision =
        Decision::from_plan(version, 3, &p, &[1.0, 0.5, 0.125], &class_order).expect("three zones");
    let decoded = Decision::decode(&decision.encode(), 3).expect("a valid decision");
    assert_eq!(decoded, decision);
    for (zone, local) in p.local_fraction.iter().enumerate() {
        for (rank, class) in class_order.iter().enumerate() {
            let difference = decoded.zones[zone].local.class_fraction(rank) - local[*class];
            assert!(difference.abs() < 0.003, "zone {zone}, class {class}: {p:?}");
        }
    }
    for (rank, class) in class_order.iter().enumerate() {
        let spillover = 1.0 - decoded.absorbed.class_fraction(rank);
        assert!((spillover - p.spillover_fraction[*class]).abs() < 0.003, "{p:?}");
    }
    assert_eq!(decoded.zones[2].trust, 32);
    assert!(decision.encode().len() <= MAX_DECISION_BYTES && MAX_DECISION_BYTES <= 64);
    let mismatch = Decision::from_plan(version, 3, &p, &[1.0], &class_order);
    assert_eq!(mismatch, Err(PlanError::TrustMismatch { zones: 3, trusted: 1 }));
}

#[test]
fn more_zones_than_fit_are_an_error() {
    let p = plan(0.8, &[const { Vec::new() }; MAX_ZONES + 1], &[], &[1.0]);
    let result = Decision::from_plan(DecisionVersion::default(), 0, &p, &[1.0; MAX_ZONES + 1], &[0]);
    assert_eq!(result, Err(PlanError::TooManyZones { zones: MAX_ZONES + 1 }));
}

#[test]
fn decoding_errors_name_tag_length_and_zone_count() {
    let bytes = Decision { zones: vec![ZoneDirective::default(); 2], ..Decision::default() }.encode();
    assert_eq!(Decision::decode(&bytes[..12], 2), Err(DecodeError::Length(12)));
    assert_eq!(Decision::decode(&bytes[..20], 2), Err(DecodeError::Length(20)));
    assert_eq!(Decision::decode(&bytes, 3), Err(DecodeError::ZoneCount { expected: 3, encoded: 2 }));
    let other_message = [&[0x81], &bytes[1..]].concat();
    assert_eq!(Decision::decode(&other_message, 2), Err(DecodeError::Tag(0x81)));
}

#[test]
fn an_epoch_supersedes_any_revision_of_an_older_one() {
    let with = |epoch, revision, decider| Decision {
        version: DecisionVersion { epoch, revision },
        decider,
        ..Decision::default()
    };
    assert!(with(4, 0, 9).supersedes(&with(3, 900, 0)));
    assert!(with(3, 2, 9).supersedes(&with(3, 1, 0)));
    assert!(with(3, 2, 0).supersedes(&with(3, 2, 1)) && !with(3, 2, 1).supersedes(&with(3, 2, 1)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    #[test]
    fn arbitrary_bytes_are_rejected_or_encode_back_to_themselves(
        bytes in prop::collection::vec(any::<u8>(), 0..60), zones in 0usize..10, tag in any::<bool>()
    ) {
        let mut bytes = bytes;
        if let Some(first) = bytes.first_mut().filter(|_| tag) {
            *first = DECISION_TAG;
        }
        if let Some(count) = bytes.get_mut(12).filter(|_| tag) {
            *count = zones as u8;
        }
        if let Ok(decision) = Decision::decode(&bytes, zones) {
            prop_assert_eq!(decision.encode(), bytes);
        }
    }
}
