use super::*;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

#[test]
fn who_comes_before_its_moment_is_known_until_it_has_kept_some() {
    let mut ledger = Ledger::new(8);
    assert!(!ledger.asks(at(0), 1), "never seen");
    ledger.told(1, at(3000));
    ledger.told(2, at(3000));
    assert!(ledger.asks(at(500), 1), "early");
    assert!(!ledger.asks(at(2900), 2), "within the allowance");
    assert!(ledger.asks(at(20_000), 1), "remembered");
    assert!(!ledger.asks(at(31_000), 1), "forgiven");
}

#[test]
fn it_is_bounded_and_forgets_the_one_seen_longest_ago() {
    let mut ledger = Ledger::new(3);
    for source in 1..=3 {
        ledger.told(source, at(10_000));
    }
    assert!(ledger.asks(at(0), 1));
    ledger.told(4, at(10_000));
    assert_eq!(ledger.len(), 3);
    assert!(!ledger.asks(at(1), 2), "forgotten");
    assert!(ledger.asks(at(1), 1) && ledger.asks(at(1), 3) && ledger.asks(at(1), 4));
    (0..10_000).for_each(|s| ledger.told(s, at(0)));
    assert!(ledger.len() == 3 && ledger.order.len() == 3);
}
