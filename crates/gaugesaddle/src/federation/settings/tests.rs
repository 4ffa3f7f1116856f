use super::*;

#[test]
fn budgets_must_match_the_classes_and_proxies_of_the_platform() {
    let send = Allowance { per_s: 10, burst: 0, in_flight: 7, classes: BTreeMap::from([("vote".into(), 5)]) };
    let other = OtherRegion { name: "south".into(), send, ..OtherRegion::default() };
    let region = RegionSection { other: vec![other], ..RegionSection::default() };
    let names = ["read".to_string(), "vote".to_string()];
    assert_eq!(region.check_with(&names, 7), Ok(()));
    let InvalidKey { key, finding } =
        region.check_with(&names, 8).expect_err("fewer requests in flight than proxies");
    assert_eq!(key, "region.other.0.send.in_flight");
    assert_eq!(finding, "expected at least one for each of the 8 proxies, got 7");
    let InvalidKey { key, finding } = region.check_with(&names[..1], 1).expect_err("unknown class");
    assert_eq!(
        (key.as_str(), finding.as_str()),
        ("region.other.0.send.classes.vote", "expected one of read")
    );
}
