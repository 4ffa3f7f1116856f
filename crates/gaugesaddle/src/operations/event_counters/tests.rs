use super::*;

#[test]
fn each_reason_is_logged_at_most_once_a_second_without_losing_counts() {
    let counters = EventCounters::new();
    let at = |ms: u64| Time(1_000_000_000 + ms * 1000);
    assert_eq!(counters.take_line(at(0)), None);
    counters.count(Reason::ClosedIdle);
    assert_eq!(counters.take_line(at(0)).as_deref(), Some("closed: idle +1 (1)"));
    counters.count(Reason::ClosedIdle);
    counters.count(Reason::Failed);
    assert_eq!(
        counters.take_line(at(500)).as_deref(),
        Some("failed +1 (1)"),
        "the other reason was logged less than a second ago"
    );
    counters.count(Reason::ClosedIdle);
    assert_eq!(counters.take_line(at(999)), None);
    assert_eq!(counters.take_line(at(1000)).as_deref(), Some("closed: idle +2 (3)"));
    assert_eq!(counters.take_line(at(9000)), None, "nothing was counted since the last line");
    assert_eq!((counters.of(Reason::ClosedIdle), counters.of(Reason::Failed)), (3, 1));
}

#[test]
fn every_reason_has_a_unique_text() {
    let unique: std::collections::BTreeSet<_> = TEXTS.iter().collect();
    assert_eq!(unique.len(), TEXTS.len());
    assert_eq!(TEXTS.len(), Reason::DuplicateId as usize + 1, "the last reason must have the last text");
}
