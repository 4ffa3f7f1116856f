use super::*;

#[test]
fn pauses_double_with_failures_and_are_spread() {
    let mut backoff = Backoff::default();
    assert!(backoff.open(Time(0)));
    let mut now = Time(1_000_000);
    let mut pauses = Vec::new();
    for _ in 0..8 {
        backoff.failed(now, now, 0.5);
        pauses.push((backoff.until() - now).0 / 1000);
        now = backoff.until();
        assert!(backoff.open(now));
    }
    assert_eq!(pauses, [250, 500, 1000, 2000, 4000, 8000, 8000, 8000]);
    backoff.answered();
    backoff.failed(now, now, 0.0);
    assert_eq!((backoff.until() - now).0, 125_000);
}

/// Seen in play: a link that was silent for 2 s under a hundred requests was left alone for 8 s more.
#[test]
fn what_fails_together_is_one_failure() {
    let (mut backoff, sent) = (Backoff::default(), Time(1_000_000));
    for late in 0..100 {
        backoff.failed(Time(1_250_000 + late), sent, 0.5);
    }
    assert_eq!(backoff.until(), Time(1_500_000));
    let next = backoff.until();
    backoff.failed(next + Micros(100_000), next, 0.5);
    assert_eq!((backoff.until() - next).0, 600_000, "the next one is another");
}

#[test]
fn a_told_pause_is_never_cut_short_and_never_endless() {
    let (mut a, mut b) = (Backoff::default(), Backoff::default());
    let now = Time(5_000_000);
    a.refused(now, Micros(2_000_000), 0.0);
    b.refused(now, Micros(u64::MAX), 1.0);
    assert_eq!((a.until() - now).0, 2_000_000);
    assert_eq!((b.until() - now).0, 60_000_000);
    a.failed(now, now, 0.0);
    assert_eq!((a.until() - now).0, 2_000_000, "a shorter one does not shorten it");
}
