use super::*;
use proptest::prelude::*;
use ZoneStatus::{Available, Lost};

const OBSERVATION_INTERVAL_US: u64 = 250_000;

/// One zone, observed four times a second.
struct Zone {
    policy: EscalationPolicy,
    now: u64,
}

impl Zone {
    fn new() -> Zone {
        Zone { policy: EscalationPolicy::new(EscalationLevels::default()), now: 0 }
    }

    /// Observes one status for a time; returns the trust at its end.
    fn observe(&mut self, duration_ms: u64, status: ZoneStatus) -> Trust {
        for _ in 0..duration_ms * 1000 / OBSERVATION_INTERVAL_US {
            self.observe_once(status);
        }
        self.policy.trust()
    }

    fn observe_once(&mut self, status: ZoneStatus) -> bool {
        self.now += OBSERVATION_INTERVAL_US;
        self.policy.observe(Time(self.now), status)
    }
}

#[test]
fn a_recovered_zone_is_trusted_level_by_level() {
    let mut zone = Zone::new();
    assert_eq!(zone.observe(9000, Available), Trust::Full);
    assert_eq!(zone.observe(250, Lost), Trust::Lost);
    assert_eq!(zone.observe(5000, Lost), Trust::Lost);
    assert_eq!(zone.observe(750, Available), Trust::Level(0));
    assert_eq!((zone.policy.trusted_fraction(), zone.observe(3000, Available)), (0.125, Trust::Level(1)));
    assert_eq!(zone.observe(3000, Available), Trust::Level(2));
    // A short loss costs one level, not all.
    assert_eq!(zone.observe(500, Lost), Trust::Level(1));
    assert_eq!(zone.observe(3000, Available), Trust::Level(2));
    assert_eq!(zone.observe(3000, Available), Trust::Full);
    // A longer loss on a level costs all trust.
    zone.observe(250, Lost);
    zone.observe(4500, Available);
    assert!(matches!(zone.policy.trust(), Trust::Level(_)));
    assert_eq!(zone.observe(1500, Lost), Trust::Lost);
}

#[test]
fn a_flapping_zone_backs_off_up_to_the_limit_and_recovers() {
    let mut zone = Zone::new();
    let mut mean_fractions = Vec::new();
    for _ in 0..20 {
        zone.observe(3000, Lost);
        let mut mean = 0.0;
        for _ in 0..12 {
            zone.observe(250, Available);
            mean += zone.policy.trusted_fraction() / 12.0;
        }
        mean_fractions.push(mean);
    }
    assert!(
        mean_fractions[0] > 0.05 && mean_fractions[4..].iter().all(|mean| *mean == 0.0),
        "{mean_fractions:?}"
    );
    assert!(zone.policy.backoff() <= EscalationLevels::default().max_backoff);
    zone.observe(4_500, Available);
    assert!(matches!(zone.policy.trust(), Trust::Level(_)), "trusted again after the backoff");
    assert_eq!(zone.observe(13_000, Available), Trust::Full);
    zone.observe(60_000, Available);
    zone.observe(250, Lost);
    let initial_backoff = EscalationLevels::default().initial_backoff;
    assert_eq!(zone.policy.backoff(), initial_backoff, "old losses do not count");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn trust_rises_one_level_at_a_time_and_always_recovers(
        observations in prop::collection::vec((any::<bool>(), 1u64..20), 1..60)
    ) {
        let mut zone = Zone::new();
        for (lost, times) in observations {
            let status = if lost { Lost } else { Available };
            for _ in 0..times {
                let (before, fraction) = (zone.policy.trust(), zone.policy.trusted_fraction());
                let changed = zone.observe_once(status);
                let (after, trusted) = (zone.policy.trust(), zone.policy.trusted_fraction());
                prop_assert_eq!(changed, before != after);
                prop_assert!(trusted <= (2.0 * fraction).max(0.125) + 1e-9, "{:?} to {:?}", before, after);
                prop_assert!(!lost || trusted <= fraction, "trust does not rise during a loss");
                prop_assert!(zone.policy.backoff() <= EscalationLevels::default().max_backoff);
            }
        }
        prop_assert_eq!(zone.observe(30_000 + 4 * 3000 + 1000, Available), Trust::Full);
    }
}
