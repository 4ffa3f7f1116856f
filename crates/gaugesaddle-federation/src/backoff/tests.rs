use super::*;

#[test]
fn backoff_doubles_with_consecutive_failures_and_is_jittered() {
    let mut backoff = Backoff::default();
    assert!(backoff.is_over(Time(0)));
    let mut now = Time(1_000_000);
    let mut backoffs_ms = Vec::new();
    for _ in 0..8 {
        backoff.record_failure(now, now, 0.5);
        backoffs_ms.push((backoff.until() - now).0 / 1000);
        now = backoff.until();
        assert!(backoff.is_over(now));
    }
    assert_eq!(backoffs_ms, [250, 500, 1000, 2000, 4000, 8000, 8000, 8000]);
    backoff.record_success();
    backoff.record_failure(now, now, 0.0);
    assert_eq!((backoff.until() - now).0, 125_000);
}

/// Guards against counting simultaneous failures individually: after 2 s without responses to a hundred requests, a link
/// was observed to back off for another 8 s.
#[test]
fn simultaneous_failures_count_once() {
    let (mut backoff, sent_at) = (Backoff::default(), Time(1_000_000));
    for late in 0..100 {
        backoff.record_failure(Time(1_250_000 + late), sent_at, 0.5);
    }
    assert_eq!(backoff.until(), Time(1_500_000));
    let next = backoff.until();
    backoff.record_failure(next + Micros(100_000), next, 0.5);
    assert_eq!(
        (backoff.until() - next).0,
        600_000,
        "a request sent after the backoff counts as another failure"
    );
}

#[test]
fn a_requested_delay_is_never_shortened_and_has_an_upper_bound() {
    let (mut short, mut unbounded) = (Backoff::default(), Backoff::default());
    let now = Time(5_000_000);
    short.record_rejection(now, Micros(2_000_000), 0.0);
    unbounded.record_rejection(now, Micros(u64::MAX), 1.0);
    assert_eq!((short.until() - now).0, 2_000_000);
    assert_eq!((unbounded.until() - now).0, 60_000_000);
    short.record_failure(now, now, 0.0);
    assert_eq!((short.until() - now).0, 2_000_000, "a shorter backoff does not replace it");
}
