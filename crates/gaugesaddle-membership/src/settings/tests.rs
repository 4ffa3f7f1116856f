use super::*;

#[test]
fn each_error_names_its_key() {
    let error = |change: &dyn Fn(&mut Settings)| {
        let mut settings = Settings::default();
        change(&mut settings);
        settings.check().expect_err("out of range").to_string()
    };
    assert_eq!(Settings::default().check(), Ok(()));
    assert_eq!(error(&|s| s.probe_interval = Micros(1)), "probe_ms: expected 50 to 10000");
    assert_eq!(
        error(&|s| s.ack_timeout = s.probe_interval),
        "answer_ms: expected 10 to 5000, below probe_ms"
    );
    assert_eq!(error(&|s| s.indirect_probes = 9), "indirect: expected 0 to 8");
    assert_eq!(
        error(&|s| s.max_suspicion = Micros(200_000)),
        "suspect_most_ms: expected suspect_least_ms to 60000"
    );
    assert_eq!(error(&|s| s.bytes_per_s = 10), "bytes_per_s: expected 1000 to 1000000");
    assert_eq!(error(&|s| s.reconnect_interval = Micros(0)), "retry_ms: expected 250 to 60000");
    assert_eq!(error(&|s| s.retention = Micros(0)), "forget_s: expected 10 to 86400");
    assert_eq!(error(&|s| s.publish_interval = Micros(0)), "publish_ms: expected 100 to 60000");
}
