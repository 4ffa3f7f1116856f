use super::*;

#[test]
fn the_estimate_rises_with_one_sample_and_samples_expire() {
    let mut estimator = RoundTripEstimator::new(Micros(50_000));
    let at = |ms: u64| Time(1_000_000 + ms * 1000);
    assert_eq!(estimator.estimate(at(0)), Micros(50_000));
    (0..100).for_each(|n| estimator.record(at(n), Micros(4_000)));
    assert_eq!(estimator.estimate(at(100)), Micros(4_000));
    estimator.record(at(110), Micros(40_000));
    assert_eq!(
        estimator.estimate(at(111)),
        Micros(40_000),
        "the first sample of a tenfold increase takes effect"
    );
    (0..31).for_each(|n| estimator.record(at(200 + n), Micros(4_000)));
    assert_eq!(estimator.estimate(at(300)), Micros(40_000), "the maximum of the last 32 samples");
    estimator.record(at(301), Micros(4_000));
    assert_eq!(estimator.estimate(at(302)), Micros(4_000));
    assert_eq!(estimator.estimate(at(60_000)), Micros(50_000), "all samples have expired");
}

#[test]
fn the_reported_remaining_time_is_strictly_less_than_the_remaining_time() {
    let ms = |n: u64| Micros(n * 1000);
    assert_eq!(remaining_after_hop(ms(250), ms(40), ms(10)), Some(ms(200)));
    assert_eq!(remaining_after_hop(ms(50), ms(40), ms(10)), None, "no time remains");
    assert_eq!(
        remaining_after_hop(ms(30), ms(40), ms(10)),
        None,
        "the remaining time is below the round trip"
    );
    assert_eq!(remaining_after_hop(Micros(250_999), Micros(0), Micros(0)), Some(ms(249)));
    assert_eq!(remaining_after_hop(ms(1), Micros(0), Micros(0)), None);
    assert_eq!(remaining_after_hop(Micros(u64::MAX), Micros(u64::MAX), ms(1)), None);
}
