use super::*;

#[test]
fn a_rate_follows_a_step_and_smooths_noise() {
    let mut rate = RateCounter { count: 5, rate: RateEstimator::default() };
    assert_eq!(rate.measure(0.5), 10.0);
    let after: Vec<f64> = (0..8)
        .map(|_| {
            rate.count = 10;
            rate.measure(0.5)
        })
        .collect();
    assert_eq!(after[0], 12.5);
    assert!(after[3] > 16.0 && after[7] > 18.5 && after[7] < 20.0, "{after:?}");
}
