//! The failure: a proxy goes back to the control process that it has just left, while others are in touch.

use gaugesaddle_distribution::{Members, FAILED_MEMBER_BACKOFF_MS, MEMBER_RETENTION_MS};

const NOW: u64 = 1_000_000;

fn members(own: u32) -> Members {
    Members::new(own, NOW, [1, 2, 3, 4].into_iter())
}

#[test]
fn a_process_that_failed_is_asked_again_only_after_all_others() {
    let mut members = members(2);
    let mut asked = Vec::new();
    for step in 0..4 {
        let now = NOW + step * 100;
        let ip = members.choose(now).expect("some are known");
        asked.push(ip);
        members.failed(now, ip);
    }
    assert_eq!(asked[0], 2, "the one on its own machine first");
    asked.sort_unstable();
    assert_eq!(asked, [1, 2, 3, 4], "each once");
    assert_eq!(members.choose(NOW + 400), Some(2), "then the one that failed longest ago");
}

#[test]
fn its_own_is_asked_again_after_a_while() {
    let mut members = members(3);
    members.failed(NOW, 3);
    assert_ne!(members.choose(NOW + FAILED_MEMBER_BACKOFF_MS - 1), Some(3));
    assert_eq!(members.choose(NOW + FAILED_MEMBER_BACKOFF_MS), Some(3));
}

#[test]
fn machines_spread_over_the_processes_of_others() {
    let mut first = std::collections::BTreeSet::new();
    for own in 100..140 {
        first.insert(members(own).choose(NOW));
    }
    assert_eq!(first.len(), 4, "{first:?}");
}

#[test]
fn what_nobody_names_is_forgotten_and_news_is_taken() {
    let mut members = members(9);
    members.name(NOW + MEMBER_RETENTION_MS, [7].into_iter());
    assert_eq!(members.choose(NOW + MEMBER_RETENTION_MS), Some(7));
}
