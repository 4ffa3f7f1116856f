//! Failure guarded against: the operator cannot see which proxies lack a change, since a proxy that has ended or follows
//! another process counts as outdated, or an outdated one as current.

use gaugesaddle_distribution::{Completion, DistributionProgress};
use gaugesaddle_protocol::LogPosition;

const NOW: u64 = 1_000_000;

fn position(index: u64) -> Option<LogPosition> {
    Some(LogPosition { term: 1, index })
}

/// Two proxies have the first configuration, and the process has learned of the second.
fn with_second_configuration() -> DistributionProgress {
    let mut progress = DistributionProgress::default();
    progress.record_newest(NOW, LogPosition { term: 1, index: 1 }, 5);
    progress.record_pull(NOW, "proxy-1", position(1));
    progress.record_pull(NOW, "proxy-2", position(1));
    progress.record_newest(NOW + 10, LogPosition { term: 1, index: 2 }, 6);
    progress
}

#[test]
fn distribution_is_complete_once_the_last_proxy_has_the_newest_configuration() {
    let mut progress = with_second_configuration();
    assert_eq!(progress.record_pull(NOW + 20, "proxy-1", position(2)), None);
    let report = progress.report(NOW + 30);
    assert_eq!((report.revision, report.age_ms), (6, 20));
    assert_eq!((report.proxies, report.outdated_proxies), (2, 1));
    assert_eq!(report.outdated, ["proxy-2"]);
    let completion = Completion { revision: 6, proxies: 2, duration_ms: 240 };
    assert_eq!(progress.record_pull(NOW + 250, "proxy-2", position(2)), Some(completion));
    assert_eq!(progress.record_pull(NOW + 260, "proxy-2", position(2)), None, "it is reported once");
    assert_eq!(progress.report(NOW + 260).outdated_proxies, 0);
}

#[test]
fn proxy_that_leaves_or_no_longer_pulls_is_not_counted() {
    let mut progress = with_second_configuration();
    progress.remove("proxy-1");
    assert_eq!(progress.report(NOW + 100).outdated, ["proxy-2"]);
    let later = NOW + 10_000;
    assert_eq!(progress.report(later).proxies, 0);
    assert!(progress.record_pull(later, "proxy-3", position(2)).is_some());
}

#[test]
fn sent_bytes_count_replies_with_the_newest_configuration_only() {
    let mut progress = with_second_configuration();
    progress.record_sent(700);
    progress.record_sent(300);
    assert_eq!(progress.report(NOW + 20).sent_bytes, 1000);
    progress.record_newest(NOW + 30, LogPosition { term: 1, index: 3 }, 7);
    assert_eq!(progress.report(NOW + 30).sent_bytes, 0);
}
