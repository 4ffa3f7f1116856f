use super::*;

#[test]
fn distributions_have_the_requested_means() {
    let mut random = RandomStream::new(7, "means");
    let mean = |draw: &mut dyn FnMut() -> f64| (0..20_000).map(|_| draw()).sum::<f64>() / 20_000.0;
    assert!((mean(&mut || random.unit()) - 0.5).abs() < 0.02);
    assert!((mean(&mut || random.exponential(3.0)) - 3.0).abs() < 0.15);
    assert!((mean(&mut || random.lognormal(5.0, 1.0)) - 5.0).abs() < 0.3);
}

#[test]
fn each_seed_and_purpose_has_its_own_stream() {
    let first = |purpose| RandomStream::new(1, purpose).bits();
    assert_eq!(first("a"), first("a"));
    assert_ne!(first("a"), first("b"));
    assert_ne!(RandomStream::new(1, "a").bits(), RandomStream::new(2, "a").bits());
}
