//! Guards against a malformed, forged or replayed datagram that panics the membership process, changes its state
//! without the key, or makes it ignore valid datagrams afterwards.

use gaugesaddle_proxy_simulation::fuzz::fuzz;

#[test]
fn malformed_datagrams_are_counted_and_change_nothing() {
    for seed in 1..=3 {
        let report = fuzz(6000, seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert_eq!(report.sent, 6000);
        let counts = report.counts;
        assert!(
            counts.malformed > 100
                && counts.misaddressed > 100
                && counts.unauthenticated > 100
                && counts.replayed > 50,
            "{counts:?}"
        );
    }
}
