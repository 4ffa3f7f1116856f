use super::*;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

#[test]
fn a_source_that_retries_early_is_reported_for_the_forgiveness_time() {
    let mut accounting = RetryAccounting::new(8);
    assert!(!accounting.record_request(at(0), 1), "never seen");
    accounting.record_advice(1, at(3000));
    accounting.record_advice(2, at(3000));
    assert!(accounting.record_request(at(500), 1), "early");
    assert!(!accounting.record_request(at(2900), 2), "within the tolerance");
    assert!(accounting.record_request(at(20_000), 1), "an early retry is remembered");
    assert!(!accounting.record_request(at(31_000), 1), "the forgiveness time has passed");
}

#[test]
fn the_table_is_bounded_and_evicts_the_least_recently_seen() {
    let mut accounting = RetryAccounting::new(3);
    for source in 1..=3 {
        accounting.record_advice(source, at(10_000));
    }
    assert!(accounting.record_request(at(0), 1));
    accounting.record_advice(4, at(10_000));
    assert_eq!(accounting.len(), 3);
    assert!(!accounting.record_request(at(1), 2), "evicted");
    assert!(
        accounting.record_request(at(1), 1)
            && accounting.record_request(at(1), 3)
            && accounting.record_request(at(1), 4)
    );
    (0..10_000).for_each(|s| accounting.record_advice(s, at(0)));
    assert!(accounting.len() == 3 && accounting.order.len() == 3);
}
