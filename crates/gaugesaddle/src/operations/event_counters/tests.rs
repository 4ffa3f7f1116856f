use super::*;

#[test]
fn a_reason_is_told_once_a_second_and_loses_no_count() {
    let tally = EventCounters::new();
    let at = |ms: u64| Time(1_000_000_000 + ms * 1000);
    assert_eq!(tally.take_line(at(0)), None);
    tally.count(Reason::ClosedIdle);
    assert_eq!(tally.take_line(at(0)).as_deref(), Some("closed: idle +1 (1)"));
    tally.count(Reason::ClosedIdle);
    tally.count(Reason::Failed);
    assert_eq!(tally.take_line(at(500)).as_deref(), Some("failed +1 (1)"), "the other within its second");
    tally.count(Reason::ClosedIdle);
    assert_eq!(tally.take_line(at(999)), None);
    assert_eq!(tally.take_line(at(1000)).as_deref(), Some("closed: idle +2 (3)"));
    assert_eq!(tally.take_line(at(9000)), None, "nothing new");
    assert_eq!((tally.of(Reason::ClosedIdle), tally.of(Reason::Failed)), (3, 1));
}

#[test]
fn every_reason_has_a_text_of_its_own() {
    let unlike: std::collections::BTreeSet<_> = TEXTS.iter().collect();
    assert_eq!(unlike.len(), TEXTS.len());
    assert_eq!(TEXTS.len(), Reason::DuplicateId as usize + 1, "the last one ends the table");
}
