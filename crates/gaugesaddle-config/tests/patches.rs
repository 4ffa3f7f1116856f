//! Failures guarded against: a patch changes items that it does not name, an ambiguous patch is accepted, or a finding
//! lacks its list, item or field.

use gaugesaddle_config::ConfigPatch;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};

const BASE: &str = r#"{"revision":4, "routes":[{"name":"a","x":1.50},{"name":"b","x":2}], "limits":{"most":7e2},
 "tenants":[{"name":"t"}],"groups":[{"name":"g"}]}"#;

fn findings(patch: &str, base: &str) -> Vec<String> {
    let patched = ConfigPatch::parse(patch.as_bytes()).and_then(|patch| patch.apply(base.as_bytes()));
    patched.expect_err("the patch is rejected").0.iter().map(ToString::to_string).collect()
}

fn patched(patch: &str, base: &str) -> String {
    let patch = ConfigPatch::parse(patch.as_bytes()).expect("the patch can be parsed");
    String::from_utf8(patch.apply(base.as_bytes()).expect("the patch applies")).expect("the result is UTF-8")
}

#[test]
fn items_not_named_keep_their_text() {
    let patch = r#"{"revision":9,"upsert":{"routes":[{"name":"b","x":3},{"name":"c"}],"services":[{"name":"s"}]},
        "remove":{"tenants":["t"]}}"#;
    let text = patched(patch, BASE);
    assert_eq!(
        text,
        r#"{"revision":9,"routes":[{"name":"a","x":1.50},{"name":"b","x":3},{"name":"c"}],"limits":{"most":7e2},"tenants":[],"groups":[{"name":"g"}],"services":[{"name":"s"}]}"#
    );
    // A list that exists in the configuration may be changed even if this build does not know it.
    assert!(patched(r#"{"revision":5,"upsert":{"groups":[{"name":"h"}]}}"#, BASE).contains(r#"{"name":"h"}"#));
    let first = patched(r#"{"revision":1,"upsert":{"routes":[{"name":"a"}]}}"#, "");
    assert_eq!(first, r#"{"revision":1,"routes":[{"name":"a"}]}"#);
}

#[test]
fn findings_have_list_item_and_field() {
    let cases = [
        ("{", "line 1, column 1"),
        ("[]", "a JSON object"),
        (r#"{"upsert":{}}"#, "revision: expected a whole number"),
        (r#"{"revision":-1}"#, "revision: expected a whole number"),
        (r#"{"revision":5,"delete":{}}"#, "delete: expected revision, upsert or remove"),
        (r#"{"revision":5,"upsert":{},"upsert":{}}"#, "upsert: expected to be given once"),
        (r#"{"revision":5,"upsert":[]}"#, "upsert: expected an object of lists"),
        (r#"{"revision":5,"upsert":{"routes":{}}}"#, "upsert.routes: expected a list"),
        (
            r#"{"revision":5,"upsert":{"routes":[{"name":"a"},{"x":1}]}}"#,
            "upsert.routes[1]: expected an object",
        ),
        (r#"{"revision":5,"upsert":{"routes":[{"name":"q"},{"name":"q"}]}}"#, "upsert.routes[1] (q)"),
        (
            r#"{"revision":5,"upsert":{"routes":[{"name":"a"}]},"remove":{"routes":["a"]}}"#,
            "remove.routes[0] (a)",
        ),
        (r#"{"revision":5,"remove":{"routes":[7]}}"#, "remove.routes[0]: expected a name"),
        (r#"{"revision":5,"remove":{"routes":["unknown"]}}"#, "remove.routes[0] (unknown)"),
        (r#"{"revision":5,"upsert":{"limits":[{"name":"l"}]}}"#, "upsert.limits"),
        (r#"{"revision":5,"remove":{"walls":["w"]}}"#, "remove.walls"),
    ];
    for (patch, expected) in cases {
        let found = findings(patch, BASE);
        assert!(found.iter().any(|f| f.contains(expected)), "{patch}: {found:?}");
    }
    let all = findings(r#"{"revision":5,"upsert":{"routes":[1,2]},"remove":{"routes":[3]},"x":0}"#, BASE);
    assert_eq!(all.len(), 4, "all findings are reported together: {all:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// The reference model is a map from names to items.
    #[test]
    fn patch_equals_update_of_map_by_name(
        base in prop::collection::btree_map(0u8..12, 0u32..100, 0..10),
        upsert in prop::collection::btree_map(0u8..12, 100u32..200, 0..6),
        remove in prop::collection::btree_set(0u8..12, 0..4),
    ) {
        let item = |(name, x): (&u8, &u32)| json!({"name": format!("r{name}"), "x": x});
        let document = json!({"revision": 1, "routes": base.iter().map(item).collect::<Vec<_>>()}).to_string();
        let names: Vec<String> =
            remove.iter().filter(|n| !upsert.contains_key(n)).map(|n| format!("r{n}")).collect();
        let patch = json!({"revision": 2, "upsert": {"routes": upsert.iter().map(item).collect::<Vec<_>>()},
            "remove": {"routes": names}}).to_string();
        let patch = ConfigPatch::parse(patch.as_bytes()).expect("the patch can be parsed");
        let result = patch.apply(document.as_bytes());
        let removed = |n: &u8| remove.contains(n) && !upsert.contains_key(n);
        if remove.iter().any(|n| removed(n) && !base.contains_key(n)) {
            prop_assert!(result.is_err());
            return Ok(());
        }
        let patched: Value = serde_json::from_slice(&result.expect("the patch applies")).expect("the result is JSON");
        let mut expected = base.clone();
        expected.extend(upsert.clone());
        expected.retain(|n, _| !removed(n));
        let mut items: Vec<Value> = patched["routes"].as_array().cloned().unwrap_or_default();
        items.sort_by_key(|i| i["name"].as_str().map(|n| n[1..].parse::<u8>().unwrap_or(0)));
        prop_assert_eq!(items, expected.iter().map(item).collect::<Vec<_>>());
        prop_assert_eq!(&patched["revision"], &json!(2));
    }

    /// Arbitrary bytes are parsed or rejected.
    #[test]
    fn arbitrary_bytes_do_not_panic(patch in prop::collection::vec(any::<u8>(), 0..80), length in 0usize..BASE.len()) {
        let _ = ConfigPatch::parse(&patch);
        if let Ok(patch) = ConfigPatch::parse(br#"{"revision":5,"upsert":{"routes":[{"name":"a"}]}}"#) {
            let _ = patch.apply(BASE.as_bytes().get(..length).unwrap_or_default());
        }
    }
}
