//! Failure guarded against: a proxy calls the control process that has just failed again, while others are in contact
//! with a majority.

use gaugesaddle_distribution::{Members, FAILED_MEMBER_BACKOFF_MS, MEMBER_RETENTION_MS};

const NOW: u64 = 1_000_000;

fn members(own: u32) -> Members {
    Members::new(own, NOW, [1, 2, 3, 4].into_iter())
}

#[test]
fn failed_process_is_called_again_only_after_all_others() {
    let mut members = members(2);
    let mut called = Vec::new();
    for step in 0..4 {
        let now = NOW + step * 100;
        let ip = members.choose(now).expect("the proxy has members");
        called.push(ip);
        members.record_failure(now, ip);
    }
    assert_eq!(called[0], 2, "the process on the proxy's machine is called first");
    called.sort_unstable();
    assert_eq!(called, [1, 2, 3, 4], "each process is called once");
    assert_eq!(members.choose(NOW + 400), Some(2), "the process with the oldest failure is called next");
}

#[test]
fn each_process_is_called_before_any_is_called_again_however_long_the_calls_take() {
    let mut members = Members::new(9, NOW, 1..=12);
    let mut called = Vec::new();
    for step in 0..12 {
        let now = NOW + step * 490;
        let ip = members.choose(now).expect("the proxy has members");
        called.push(ip);
        members.record_failure(now, ip);
    }
    let first = called[0];
    called.sort_unstable();
    assert!(called.iter().copied().eq(1..=12), "{called:?}");
    assert_eq!(members.choose(NOW + 12 * 490), Some(first));
}

#[test]
fn own_process_is_called_again_after_backoff_and_a_fresh_reply() {
    let mut members = members(3);
    members.record_failure(NOW, 3);
    assert_ne!(members.choose(NOW + FAILED_MEMBER_BACKOFF_MS), Some(3), "the others have not been called");
    members.record_fresh(NOW + 1);
    assert_ne!(members.choose(NOW + FAILED_MEMBER_BACKOFF_MS - 1), Some(3));
    assert_eq!(members.choose(NOW + FAILED_MEMBER_BACKOFF_MS), Some(3));
}

#[test]
fn first_choice_differs_by_machine() {
    let mut first = std::collections::BTreeSet::new();
    for own in 100..140 {
        first.insert(members(own).choose(NOW));
    }
    assert_eq!(first.len(), 4, "{first:?}");
}

#[test]
fn unreported_member_is_dropped_and_reported_one_added() {
    let mut members = members(9);
    members.add(NOW + MEMBER_RETENTION_MS, [7].into_iter());
    assert_eq!(members.choose(NOW + MEMBER_RETENTION_MS), Some(7));
}
