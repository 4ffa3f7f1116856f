use super::*;

#[test]
fn a_rise_counts_at_once_and_expires() {
    let mut estimator = RoundTripEstimator::new(Micros(50_000));
    let at = |ms: u64| Time(1_000_000 + ms * 1000);
    assert_eq!(estimator.estimate(at(0)), Micros(50_000));
    (0..100).for_each(|n| estimator.record(at(n), Micros(4_000)));
    assert_eq!(estimator.estimate(at(100)), Micros(4_000));
    estimator.record(at(110), Micros(40_000));
    assert_eq!(estimator.estimate(at(111)), Micros(40_000), "tenfold within a second");
    (0..31).for_each(|n| estimator.record(at(200 + n), Micros(4_000)));
    assert_eq!(estimator.estimate(at(300)), Micros(40_000), "one in thirty-two");
    estimator.record(at(301), Micros(4_000));
    assert_eq!(estimator.estimate(at(302)), Micros(4_000));
    assert_eq!(estimator.estimate(at(60_000)), Micros(50_000), "old samples do not count");
}

#[test]
fn a_hop_reports_strictly_less_time_than_it_has() {
    let ms = |n: u64| Micros(n * 1000);
    assert_eq!(remaining_after_hop(ms(250), ms(40), ms(10)), Some(ms(200)));
    assert_eq!(remaining_after_hop(ms(50), ms(40), ms(10)), None, "nothing remains");
    assert_eq!(remaining_after_hop(ms(30), ms(40), ms(10)), None, "below the round trip");
    assert_eq!(remaining_after_hop(Micros(250_999), Micros(0), Micros(0)), Some(ms(249)));
    assert_eq!(remaining_after_hop(ms(1), Micros(0), Micros(0)), None);
    assert_eq!(remaining_after_hop(Micros(u64::MAX), Micros(u64::MAX), ms(1)), None);
}
