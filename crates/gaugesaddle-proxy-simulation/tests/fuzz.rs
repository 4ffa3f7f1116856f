//! Datagrams of any content come: nothing panics, nobody is believed without the key, and the good ones go on.

use gaugesaddle_proxy_simulation::fuzz::fuzz;

#[test]
fn malformed_datagrams_are_counted_and_change_nothing() {
    for seed in 1..=3 {
        let told = fuzz(6000, seed).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert_eq!(told.sent, 6000);
        let c = told.counts;
        assert!(
            c.malformed > 100 && c.misaddressed > 100 && c.unauthenticated > 100 && c.replayed > 50,
            "{c:?}"
        );
    }
}
