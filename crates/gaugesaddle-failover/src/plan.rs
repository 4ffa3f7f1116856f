//! Who sends what where: near as far as the target load allows, the excess over the headroom of the others, and what no zone
//! has a place for to another region.
//!
//! All zones are filled to one level: the target, or as much over it as all need, up to all that they can do. What a zone
//! needs beyond the level is its excess; what it has left below it is its headroom; none has both. So a zone that is sent to
//! sends nothing, and whoever sends, no zone is lifted over the level.

use crate::judge::sound;

/// A zone's figures, in requests a second.
#[derive(Clone, Debug, Default, PartialEq)]
struct Fill {
    /// What of its own it keeps, by class.
    near: Vec<f64>,
    excess: Vec<f64>,
    headroom: f64,
}

/// What all proxies do until the next plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The part of what they can do that zones are filled to.
    pub level: f64,
    /// By zone and class: the part that stays in the zone.
    pub near: Vec<Vec<f64>>,
    /// By zone: its part of all that leaves a zone for another. All 0 where nobody has headroom.
    pub to: Vec<f64>,
    /// By class: of what leaves a zone the part that no zone has a place for.
    pub away: Vec<f64>,
}

/// Fills from the greatest worth down until nothing is left; what is placed, by class.
fn by_worth(amounts: &[f64], order: &[usize], mut room: f64) -> Vec<f64> {
    let mut placed = vec![0.0; amounts.len()];
    for class in order {
        placed[*class] = amounts[*class].min(room);
        room -= placed[*class];
    }
    placed
}

/// The plan for zones of which each needs so much of each class and can do so much. `target`: the load that zones are kept
/// at or under while they can; `worth`: of a request, by class.
pub fn plan(target: f64, needs: &[Vec<f64>], can: &[f64], worth: &[f64]) -> Plan {
    let classes = worth.len();
    let mut order: Vec<usize> = (0..classes).collect();
    order.sort_by(|a, b| worth[*b].total_cmp(&worth[*a]).then(a.cmp(b)));
    let need = |z: usize, k: usize| needs[z].get(k).copied().map_or(0.0, sound);
    let wants: Vec<Vec<f64>> = (0..needs.len()).map(|z| (0..classes).map(|k| need(z, k)).collect()).collect();
    let can: Vec<f64> = (0..needs.len()).map(|z| can.get(z).copied().map_or(0.0, sound)).collect();
    let (all, able) = (wants.iter().flatten().sum::<f64>(), can.iter().sum::<f64>());
    let target = target.clamp(0.0, 1.0);
    let level = if able > 0.0 { (all / able).clamp(target, 1.0) } else { 1.0 };
    let fill = |(wants, can): (&Vec<f64>, &f64)| {
        let room = level * can;
        let near = by_worth(wants, &order, room);
        let excess = wants.iter().zip(&near).map(|(w, n)| w - n).collect();
        Fill { headroom: (room - wants.iter().sum::<f64>()).max(0.0), near, excess }
    };
    let fills: Vec<Fill> = wants.iter().zip(&can).map(fill).collect();
    let headroom: f64 = fills.iter().map(|f| f.headroom).sum();
    let excess: Vec<f64> = (0..classes).map(|k| fills.iter().map(|f| f.excess[k]).sum()).collect();
    let placed = by_worth(&excess, &order, headroom);
    let part = |n: f64, of: f64, none: f64| if of > 1e-9 { (n / of).clamp(0.0, 1.0) } else { none };
    Plan {
        level,
        near: fills
            .iter()
            .zip(&wants)
            .zip(&can)
            .map(|((fill, wants), can)| {
                // Of a class that nobody asks for now the first that comes stays, where there is anybody.
                let none = f64::from(*can > 0.0);
                fill.near.iter().zip(wants).map(|(near, want)| part(*near, *want, none)).collect()
            })
            .collect(),
        to: fills.iter().map(|f| part(f.headroom, headroom, 0.0)).collect(),
        away: excess
            .iter()
            .zip(&placed)
            .map(|(excess, placed)| part(excess - placed, *excess, 0.0))
            .collect(),
    }
}

impl Plan {
    /// What a zone gets of each class in requests a second, of its own and of others', if these needs come.
    pub fn gets(&self, needs: &[Vec<f64>], zone: usize) -> f64 {
        let own: f64 = needs[zone].iter().zip(&self.near[zone]).map(|(n, near)| n * near).sum();
        let left = |z: usize, k: usize| needs[z][k] * (1.0 - self.near[z][k]) * (1.0 - self.away[k]);
        let others = (0..needs.len()).flat_map(|z| (0..self.away.len()).map(move |k| (z, k)));
        own + others.map(|(z, k)| left(z, k) * self.to[zone]).sum::<f64>()
    }

    /// What leaves for another region, in requests a second, if these needs come.
    pub fn leaves(&self, needs: &[Vec<f64>]) -> f64 {
        let of = |(z, k): (usize, usize)| needs[z][k] * (1.0 - self.near[z][k]) * self.away[k];
        (0..needs.len()).flat_map(|z| (0..self.away.len()).map(move |k| (z, k))).map(of).sum()
    }
}

#[cfg(test)]
mod tests {
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
}
