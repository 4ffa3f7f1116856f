use super::*;

/// Simulates 20 s of arrivals at a fleet that sustains a given rate.
fn run_20_s(rate_limiter: &mut RateLimiter, arrivals_per_s: f64, sustained_per_s: f64) {
    for _ in 0..80 {
        let admitted = rate_limiter.per_s().map_or(arrivals_per_s, |p| p.min(arrivals_per_s)) * 0.25;
        let succeeded = admitted.min(sustained_per_s * 0.25);
        rate_limiter.observe(0.25, admitted as u32, succeeded as u32, (admitted - succeeded) as u32);
    }
}

#[test]
fn the_rate_follows_what_the_fleet_sustains() {
    let mut rate_limiter = RateLimiter::default();
    run_20_s(&mut rate_limiter, 400.0, 60.0);
    assert!(rate_limiter.per_s().is_some_and(|p| (45.0..80.0).contains(&p)), "{rate_limiter:?}");
    run_20_s(&mut rate_limiter, 400.0, 150.0);
    assert!(rate_limiter.per_s().is_some_and(|p| (115.0..200.0).contains(&p)), "{rate_limiter:?}");
}

#[test]
fn without_failures_there_is_no_limit_and_a_dead_fleet_keeps_the_minimum() {
    let mut rate_limiter = RateLimiter::default();
    run_20_s(&mut rate_limiter, 400.0, 500.0);
    assert_eq!(rate_limiter.per_s(), None);
    (0..100).for_each(|_| rate_limiter.observe(1.0, 50, 0, 50));
    assert_eq!(rate_limiter.per_s(), Some(MIN_RATE_PER_S));
    rate_limiter.observe(1.0, 0, 4, 0);
    assert_eq!(rate_limiter.per_s(), Some(MIN_RATE_PER_S), "an unused rate is not increased");
}
