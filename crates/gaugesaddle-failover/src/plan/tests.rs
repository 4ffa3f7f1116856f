use super::*;
use proptest::prelude::*;

const WORTH: [f64; 2] = [8.0, 1.0];

#[test]
fn what_fits_stays_near_and_the_excess_goes_where_there_is_room() {
    let calm = vec![vec![10.0, 50.0], vec![5.0, 20.0], vec![0.0, 0.0]];
    let p = plan(0.8, &calm, &[100.0, 100.0, 100.0], &WORTH);
    assert!(p.near.iter().flatten().all(|n| *n == 1.0) && p.away == [0.0, 0.0]);
    // A zone is lost: all of its own leaves, to the others by what they have left.
    let p = plan(0.8, &calm, &[0.0, 100.0, 50.0], &WORTH);
    assert_eq!(p.near[0], [0.0, 0.0]);
    assert!((p.to[1] - 55.0 / 95.0).abs() < 1e-9 && (p.to[2] - 40.0 / 95.0).abs() < 1e-9);
    assert!((p.gets(&calm, 1) - 25.0 - 60.0 * 55.0 / 95.0).abs() < 1e-9 && p.leaves(&calm) == 0.0);
}

#[test]
fn what_is_worth_most_stays_and_only_what_fits_nowhere_goes_to_a_region() {
    let short = vec![vec![60.0, 100.0], vec![10.0, 20.0]];
    let p = plan(0.8, &short, &[100.0, 100.0], &WORTH);
    assert!((p.level - 0.95).abs() < 1e-9, "over the target, for together they can do it: {p:?}");
    assert_eq!((p.near[0][0], p.near[1][0]), (1.0, 1.0));
    assert!((p.gets(&short, 0) - 95.0).abs() < 1e-9 && (p.gets(&short, 1) - 95.0).abs() < 1e-9);
    assert!(p.leaves(&short) < 1e-9);
    let p = plan(0.8, &short, &[100.0, 50.0], &WORTH);
    assert_eq!((p.level, p.away[0]), (1.0, 0.0));
    assert!((p.leaves(&short) - 40.0).abs() < 1e-9, "{p:?}");
    let p = plan(0.8, &short, &[0.0, 0.0], &WORTH);
    assert_eq!((p.away[0], p.away[1], p.to[0], p.to[1]), (1.0, 1.0, 0.0, 0.0));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2000) })]

    #[test]
    fn whatever_comes_nobody_is_over_the_level_and_nothing_is_lost_or_goes_round(
        zones in prop::collection::vec((0.0f64..200.0, 0.0f64..200.0, prop_oneof![Just(0.0), 1.0f64..300.0]), 1..8),
        target in 0.3f64..1.0, worth in prop::array::uniform2(0.1f64..10.0)
    ) {
        let needs: Vec<Vec<f64>> = zones.iter().map(|z| vec![z.0, z.1]).collect();
        let can: Vec<f64> = zones.iter().map(|z| z.2).collect();
        let p = plan(target, &needs, &can, &worth);
        let all: f64 = needs.iter().flatten().sum();
        let able: f64 = can.iter().sum();
        let gets: Vec<f64> = (0..zones.len()).map(|z| p.gets(&needs, z)).collect();
        for z in 0..zones.len() {
            prop_assert!(gets[z] <= p.level * can[z] + 1e-6, "{} of {}", gets[z], can[z]);
            let sends = needs[z].iter().zip(&p.near[z]).any(|(n, near)| n * (1.0 - near) > 1e-6);
            prop_assert!(!sends || p.to[z] < 1e-9, "none sends to one that sends");
        }
        let served: f64 = gets.iter().sum();
        prop_assert!((served + p.leaves(&needs) - all).abs() < 1e-6);
        // Against the plain reference: all that the zones together can do is done before anything leaves.
        prop_assert!((served - all.min(able)).abs() < 1e-6);
        if all <= target * able {
            prop_assert!((p.level - target).abs() < 1e-9);
        }
        // Of two classes the one that is worth more never leaves a zone while the other stays.
        let (more, less) = if worth[0] >= worth[1] { (0, 1) } else { (1, 0) };
        for (z, near) in p.near.iter().enumerate() {
            let leaves = needs[z][more] * (1.0 - near[more]) > 1e-6;
            prop_assert!(!leaves || needs[z][less] * near[less] < 1e-6);
        }
        prop_assert!(p.away[more] <= 0.0 + 1e-9 || p.away[less] >= 1.0 - 1e-6 || needs.iter().all(|n| n[less] < 1e-9)
            || p.near.iter().zip(&needs).all(|(near, n)| n[less] * (1.0 - near[less]) < 1e-6));
    }
}
