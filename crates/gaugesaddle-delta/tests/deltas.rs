//! Failures guarded against: a delta yields another document than the one it names, or a small change is sent as a full
//! document.

use gaugesaddle_delta::{DeltaError, Digest, DocumentDelta};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A fixed seed makes the cases the same in each run.
const SEED: RngSeed = RngSeed::Fixed(20_261_202);

/// A configuration with a number of routes; the route `changed` has another weight.
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

/// Text in which chunks repeat.
fn text() -> impl Strategy<Value = Vec<u8>> {
    let chunk = prop_oneof![Just("a,"), Just("bb{"), Just("}"), Just("[ccc"), Just("],"), Just("d")];
    proptest::collection::vec(chunk, 0..60).prop_map(|chunks| chunks.concat().into_bytes())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: SEED, ..ProptestConfig::default() })]

    #[test]
    fn a_delta_yields_the_new_version_from_its_base_only(old in text(), new in text(), other in text()) {
        let delta = DocumentDelta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), Ok(new.clone()));
        prop_assert_eq!((delta.base(), delta.result()), (Digest::of(&old), Digest::of(&new)));
        if other != old {
            prop_assert_eq!(delta.apply(&other), Err(DeltaError::BaseMismatch));
        }
    }

    /// A corrupt delta fails to apply, or is another delta that yields the version it names.
    #[test]
    fn a_corrupt_delta_never_yields_another_version_than_it_names(old in text(), new in text(), at in any::<usize>(), byte in any::<u8>()) {
        let mut bytes = musli::storage::to_vec(&DocumentDelta::between(&old, &new)).expect("encoding a delta succeeds");
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(delta) = musli::storage::from_slice::<DocumentDelta>(&bytes) {
            if let Ok(result) = delta.apply(&old) {
                prop_assert_eq!(Digest::of(&result), delta.result());
            }
        }
    }
}

#[test]
fn a_changed_weight_among_400_routes_takes_less_than_300_bytes() {
    let old = document(7, 400, None);
    for changed in [0, 1, 200, 399] {
        let new = document(8, 400, Some(changed));
        let delta = DocumentDelta::between(&old, &new);
        assert_eq!(delta.apply(&old), Ok(new));
        assert!(delta.size() < 300, "the delta takes {} of {} bytes", delta.size(), old.len());
    }
}

#[test]
fn an_added_or_removed_route_takes_less_than_400_bytes() {
    let (shorter, longer) = (document(7, 399, None), document(7, 400, None));
    for (old, new) in [(&shorter, &longer), (&longer, &shorter)] {
        let delta = DocumentDelta::between(old, new);
        assert_eq!(delta.apply(old).as_ref(), Ok(new));
        assert!(delta.size() < 400, "the delta takes {} bytes", delta.size());
    }
}
