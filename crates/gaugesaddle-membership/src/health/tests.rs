use super::*;

#[test]
fn it_stretches_waits_within_its_bound_and_recovers() {
    let mut health = Health::default();
    assert_eq!(health.stretch(Micros(10)), Micros(10));
    (0..100).for_each(|_| health.doubted());
    assert_eq!(health.stretch(Micros(10)), Micros(40));
    (0..3).for_each(|_| health.answered());
    health.answered();
    assert_eq!(health.factor(), 1);
}
