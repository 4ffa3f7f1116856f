use super::*;

#[test]
fn a_key_is_deduplicated_for_its_window_from_its_first_arrival() {
    let mut deduplication = Deduplication::default();
    assert!(deduplication.is_new(0, 7, 1000));
    assert!(!deduplication.is_new(600, 7, 1000));
    assert!(!deduplication.is_new(1000, 7, 1000), "the window starts at the first arrival");
    assert!(deduplication.is_new(1001, 7, 1000), "the key has expired");
    for key in 0..10_000 {
        deduplication.is_new(2000 + key, key, 1000);
    }
    assert!(
        deduplication.seen.len() <= 1002 && deduplication.order.len() <= 1002,
        "expired keys are removed"
    );
}
