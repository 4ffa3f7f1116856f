use super::*;

#[test]
fn what_the_platform_tells_is_held_against_the_budgets() {
    let send = Allowance { per_s: 10, burst: 0, in_flight: 7, classes: BTreeMap::from([("vote".into(), 5)]) };
    let other = Other { name: "south".into(), send, ..Other::default() };
    let region = Region { other: vec![other], ..Region::default() };
    let names = ["read".to_string(), "vote".to_string()];
    assert_eq!(region.check_with(&names, 7), Ok(()));
    let (key, what) = region.check_with(&names, 8).expect_err("a proxy without a place");
    assert_eq!(key, "region.other.0.send.in_flight");
    assert_eq!(what, "expected one for each of the 8 proxies at least, got 7");
    let (key, what) = region.check_with(&names[..1], 1).expect_err("no such class");
    assert_eq!((key.as_str(), what.as_str()), ("region.other.0.send.classes.vote", "expected one of read"));
}
