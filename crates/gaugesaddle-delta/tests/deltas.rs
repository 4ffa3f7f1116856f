//! The failure: a patch makes another document than the one it names, or a small change travels as a whole document.

use gaugesaddle_delta::{DeltaError, Digest, DocumentDelta};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Cases are the same in each run.
const SEED: RngSeed = RngSeed::Fixed(20_261_202);

/// A configuration with so many routes; `changed` has another weight.
fn document(revision: u64, routes: usize, changed: Option<usize>) -> Vec<u8> {
    let route = |n: usize| {
        let weight = if changed == Some(n) { 71 } else { 90 };
        format!(
            "{{\"name\":\"r-{n}\",\"pathPrefix\":\"/p{n}/\",\"timeoutMs\":12000,\"public\":false,\"trafficSplit\":\
             [{{\"service\":\"a\",\"weight\":{weight}}},{{\"service\":\"b\",\"weight\":10}}]}}"
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!("{{\"revision\":{revision},\"routes\":[{}],\"services\":[]}}", routes.join(",")).into_bytes()
}

/// Text in which pieces repeat.
fn text() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![Just("a,"), Just("bb{"), Just("}"), Just("[ccc"), Just("],"), Just("d")];
    proptest::collection::vec(piece, 0..60).prop_map(|pieces| pieces.concat().into_bytes())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: SEED, ..ProptestConfig::default() })]

    #[test]
    fn a_patch_makes_the_new_version_of_its_base_only(old in text(), new in text(), other in text()) {
        let patch = DocumentDelta::between(&old, &new);
        prop_assert_eq!(patch.apply(&old), Ok(new.clone()));
        prop_assert_eq!((patch.base(), patch.result()), (Digest::of(&old), Digest::of(&new)));
        if other != old {
            prop_assert_eq!(patch.apply(&other), Err(DeltaError::Base));
        }
    }

    /// Spoilt on its way it is an error, or another patch that makes what it names.
    #[test]
    fn a_spoilt_patch_is_an_error(old in text(), new in text(), at in any::<usize>(), byte in any::<u8>()) {
        let mut bytes = musli::storage::to_vec(&DocumentDelta::between(&old, &new)).expect("it encodes");
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(patch) = musli::storage::from_slice::<DocumentDelta>(&bytes) {
            if let Ok(made) = patch.apply(&old) {
                prop_assert_eq!(Digest::of(&made), patch.result());
            }
        }
    }
}

#[test]
fn a_changed_weight_among_many_routes_takes_a_few_bytes() {
    let old = document(7, 400, None);
    for changed in [0, 1, 200, 399] {
        let new = document(8, 400, Some(changed));
        let patch = DocumentDelta::between(&old, &new);
        assert_eq!(patch.apply(&old), Ok(new));
        assert!(patch.size() < 300, "{} of {} bytes", patch.size(), old.len());
    }
}

#[test]
fn a_route_that_is_added_or_removed_takes_no_more_than_itself() {
    let (less, more) = (document(7, 399, None), document(7, 400, None));
    for (old, new) in [(&less, &more), (&more, &less)] {
        let patch = DocumentDelta::between(old, new);
        assert_eq!(patch.apply(old).as_ref(), Ok(new));
        assert!(patch.size() < 400, "{}", patch.size());
    }
}
