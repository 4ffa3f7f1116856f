use super::*;

#[test]
fn each_confirmation_counts_once_and_shortens_the_timeout() {
    let settings = Settings::default();
    let mut s = Suspicion::new(Time(0), 1);
    let end = |s: &Suspicion| s.deadline(&settings, 9).0;
    assert_eq!(end(&s), settings.max_suspicion.0);
    assert!(!s.confirm(1));
    let mut last = end(&s);
    for by in 2..5 {
        assert!(s.confirm(by) && !s.confirm(by));
        assert!(end(&s) < last);
        last = end(&s);
    }
    assert_eq!(last, settings.min_suspicion.0);
    assert!(!s.confirm(5) && s.is_confirmed_by(5), "no further confirmation counts");
    assert_eq!(
        Suspicion::new(Time(0), 1).deadline(&settings, 0).0,
        settings.min_suspicion.0,
        "no other member could confirm"
    );
    s.postpone(Time(5));
    s.postpone(Time(3));
    assert_eq!(s.started_at(), Time(5));
}
