use super::*;
use proptest::prelude::*;

const LOOK: u64 = 250_000;

/// Looks four times a second for so long; what it stood at at the end.
fn look(ladder: &mut Ladder, now: &mut u64, ms: u64, lost: bool) -> Trust {
    for _ in 0..ms * 1000 / LOOK {
        *now += LOOK;
        ladder.look(Time(*now), lost);
    }
    ladder.trust()
}

#[test]
fn a_zone_that_is_back_gets_its_own_in_steps() {
    let (mut ladder, mut now) = (Ladder::new(Rungs::default()), 0);
    assert_eq!(look(&mut ladder, &mut now, 9000, false), Trust::Whole);
    assert_eq!(look(&mut ladder, &mut now, 250, true), Trust::Lost);
    assert_eq!(look(&mut ladder, &mut now, 5000, true), Trust::Lost);
    assert_eq!(look(&mut ladder, &mut now, 750, false), Trust::Rung(0));
    assert_eq!((ladder.part(), look(&mut ladder, &mut now, 3000, false)), (0.125, Trust::Rung(1)));
    assert_eq!(look(&mut ladder, &mut now, 3000, false), Trust::Rung(2));
    // A relapse of a moment: one step back, and not to the beginning.
    assert_eq!(look(&mut ladder, &mut now, 500, true), Trust::Rung(1));
    assert_eq!(look(&mut ladder, &mut now, 3000, false), Trust::Rung(2));
    assert_eq!(look(&mut ladder, &mut now, 3000, false), Trust::Whole);
    // Lost on a rung for longer: altogether.
    look(&mut ladder, &mut now, 250, true);
    look(&mut ladder, &mut now, 4500, false);
    assert!(matches!(ladder.trust(), Trust::Rung(_)));
    assert_eq!(look(&mut ladder, &mut now, 1500, true), Trust::Lost);
}

#[test]
fn one_that_comes_and_goes_is_left_alone_for_longer_and_not_for_ever() {
    let (mut ladder, mut now) = (Ladder::new(Rungs::default()), 0);
    let mut trusted = Vec::new();
    for _ in 0..20 {
        look(&mut ladder, &mut now, 3000, true);
        let mut sum = 0.0;
        for _ in 0..12 {
            look(&mut ladder, &mut now, 250, false);
            sum += ladder.part() / 12.0;
        }
        trusted.push(sum);
    }
    assert!(trusted[0] > 0.05 && trusted[4..].iter().all(|t| *t == 0.0), "{trusted:?}");
    assert!(ladder.wait() <= Rungs::default().longest);
    look(&mut ladder, &mut now, 4_500, false);
    assert!(matches!(ladder.trust(), Trust::Rung(_)), "trusted again in the end");
    assert_eq!(look(&mut ladder, &mut now, 13_000, false), Trust::Whole);
    look(&mut ladder, &mut now, 60_000, false);
    look(&mut ladder, &mut now, 250, true);
    assert_eq!(ladder.wait(), Rungs::default().wait, "what is long ago is forgotten");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn trust_grows_one_rung_at_a_time_and_always_comes_back(
        looks in prop::collection::vec((any::<bool>(), 1u64..20), 1..60)
    ) {
        let (mut ladder, mut now) = (Ladder::new(Rungs::default()), 0);
        for (lost, times) in looks {
            for _ in 0..times {
                let (before, part) = (ladder.trust(), ladder.part());
                now += LOOK;
                let moved = ladder.look(Time(now), lost);
                prop_assert_eq!(moved, before != ladder.trust());
                prop_assert!(ladder.part() <= (2.0 * part).max(0.125) + 1e-9, "{:?} to {:?}", before, ladder.trust());
                prop_assert!(!lost || ladder.part() <= part, "no step up while it is lost");
                prop_assert!(ladder.wait() <= Rungs::default().longest);
            }
        }
        prop_assert_eq!(look(&mut ladder, &mut now, 30_000 + 4 * 3000 + 1000, false), Trust::Whole);
    }
}
