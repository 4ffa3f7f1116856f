use super::*;

#[test]
fn each_confirmer_counts_once_and_shortens_the_time() {
    let settings = Settings::default();
    let mut s = Suspicion::new(Time(0), 1);
    let end = |s: &Suspicion| s.end(&settings, 9).0;
    assert_eq!(end(&s), settings.suspect_most.0);
    assert!(!s.confirmed(1));
    let mut last = end(&s);
    for by in 2..5 {
        assert!(s.confirmed(by) && !s.confirmed(by));
        assert!(end(&s) < last);
        last = end(&s);
    }
    assert_eq!(last, settings.suspect_least.0);
    assert!(!s.confirmed(5) && s.is_by(5), "enough");
    assert_eq!(Suspicion::new(Time(0), 1).end(&settings, 0).0, settings.suspect_least.0, "nobody could");
    s.put_off(Time(5));
    s.put_off(Time(3));
    assert_eq!(s.began(), Time(5));
}
