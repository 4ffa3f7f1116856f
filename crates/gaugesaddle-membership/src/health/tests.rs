use super::*;

#[test]
fn timeouts_scale_up_to_the_maximum_and_recover() {
    let mut health = LocalHealth::default();
    assert_eq!(health.scale(Micros(10)), Micros(10));
    (0..100).for_each(|_| health.degrade());
    assert_eq!(health.scale(Micros(10)), Micros(40));
    (0..3).for_each(|_| health.improve());
    health.improve();
    assert_eq!(health.multiplier(), 1);
}
