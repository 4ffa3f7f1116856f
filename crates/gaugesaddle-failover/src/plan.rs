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
mod tests;
