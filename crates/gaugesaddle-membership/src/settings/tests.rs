use super::*;

#[test]
fn each_flaw_is_told_by_its_key() {
    let flaw = |change: &dyn Fn(&mut Settings)| {
        let mut settings = Settings::default();
        change(&mut settings);
        settings.check().expect_err("unsound").to_string()
    };
    assert_eq!(Settings::default().check(), Ok(()));
    assert_eq!(flaw(&|s| s.probe = Micros(1)), "probe_ms: expected 50 to 10000");
    assert_eq!(flaw(&|s| s.answer = s.probe), "answer_ms: expected 10 to 5000, below probe_ms");
    assert_eq!(flaw(&|s| s.indirect = 9), "indirect: expected 0 to 8");
    assert_eq!(
        flaw(&|s| s.suspect_most = Micros(200_000)),
        "suspect_most_ms: expected suspect_least_ms to 60000"
    );
    assert_eq!(flaw(&|s| s.bytes_per_s = 10), "bytes_per_s: expected 1000 to 1000000");
    assert_eq!(flaw(&|s| s.retry = Micros(0)), "retry_ms: expected 250 to 60000");
    assert_eq!(flaw(&|s| s.forget = Micros(0)), "forget_s: expected 10 to 86400");
    assert_eq!(flaw(&|s| s.publish = Micros(0)), "publish_ms: expected 100 to 60000");
}
