//! Which traffic stays in its zone, which goes to another zone, and which to another region.
//!
//! All zones are filled to one utilization: the target, or as much above it as the total demand requires, up to 1. A zone's
//! demand above that level is its excess, the remainder below it is its headroom. No zone has both, so a zone that receives
//! traffic sends none, and no zone is filled above the level, whichever zones send to it.

use crate::numeric::finite_non_negative;

/// Amounts up to this, in requests per second, count as 0.
const NEGLIGIBLE_PER_S: f64 = 1e-9;

/// How one zone is filled, in requests per second.
#[derive(Clone, Debug, Default, PartialEq)]
struct ZoneFill {
    /// Its own demand that it serves, by class.
    local: Vec<f64>,
    /// Its own demand that it does not serve, by class.
    excess: Vec<f64>,
    headroom: f64,
}

/// The distribution of traffic until the next plan. All figures are fractions, 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Utilization that zones are filled to.
    pub utilization: f64,
    /// By zone and class: the fraction of the zone's own demand that it serves itself.
    pub local_fraction: Vec<Vec<f64>>,
    /// By zone: the fraction that it receives of all traffic sent from zone to zone. All 0 where no zone has headroom.
    pub inbound_fraction: Vec<f64>,
    /// By class: of the traffic that leaves its zone, the fraction that no zone has headroom for.
    pub spillover_fraction: Vec<f64>,
}

/// Fits amounts by class into a capacity, in the given order; returns the amounts that fit, by class.
fn fit_by_priority(amounts: &[f64], class_order: &[usize], mut capacity: f64) -> Vec<f64> {
    let mut fitted = vec![0.0; amounts.len()];
    for class in class_order {
        fitted[*class] = amounts[*class].min(capacity);
        capacity -= fitted[*class];
    }
    fitted
}

/// The classes by descending priority weight, equal ones by index.
fn classes_by_priority(priority_weights: &[f64]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..priority_weights.len()).collect();
    order.sort_by(|a, b| priority_weights[*b].total_cmp(&priority_weights[*a]).then(a.cmp(b)));
    order
}

fn ratio(amount: f64, total: f64, if_no_total: f64) -> f64 {
    if total > NEGLIGIBLE_PER_S {
        (amount / total).clamp(0.0, 1.0)
    } else {
        if_no_total
    }
}

fn fill_zone(demand: &[f64], class_order: &[usize], capacity: f64) -> ZoneFill {
    let local = fit_by_priority(demand, class_order, capacity);
    let excess = demand.iter().zip(&local).map(|(demand, local)| demand - local).collect();
    let headroom = (capacity - demand.iter().sum::<f64>()).max(0.0);
    ZoneFill { local, excess, headroom }
}

/// The utilization at which the zones together serve as much of the demand as they can.
fn common_utilization(target: f64, total_demand: f64, total_capacity: f64) -> f64 {
    if total_capacity > 0.0 {
        (total_demand / total_capacity).clamp(target.clamp(0.0, 1.0), 1.0)
    } else {
        1.0
    }
}

/// Plans the distribution of traffic. `target_utilization` is the fraction of their capacity that zones stay at or
/// below while the demand allows; `demand` is in requests per second by zone and class; `capacity` in requests per second
/// by zone; `priority_weights` by class. Figures that are missing, negative or not finite count as 0.
pub fn plan(
    target_utilization: f64, demand: &[Vec<f64>], capacity: &[f64], priority_weights: &[f64],
) -> Plan {
    let (zones, classes) = (demand.len(), priority_weights.len());
    let class_order = classes_by_priority(priority_weights);
    let value = |values: &[f64], index: usize| values.get(index).copied().map_or(0.0, finite_non_negative);
    let demand: Vec<Vec<f64>> =
        demand.iter().map(|by_class| (0..classes).map(|class| value(by_class, class)).collect()).collect();
    let capacity: Vec<f64> = (0..zones).map(|zone| value(capacity, zone)).collect();

    let total_demand: f64 = demand.iter().flatten().sum();
    let total_capacity: f64 = capacity.iter().sum();
    let utilization = common_utilization(target_utilization, total_demand, total_capacity);
    let fills: Vec<ZoneFill> = demand
        .iter()
        .zip(&capacity)
        .map(|(demand, capacity)| fill_zone(demand, &class_order, utilization * capacity))
        .collect();

    let headroom: f64 = fills.iter().map(|fill| fill.headroom).sum();
    let excess: Vec<f64> =
        (0..classes).map(|class| fills.iter().map(|fill| fill.excess[class]).sum()).collect();
    let absorbed = fit_by_priority(&excess, &class_order, headroom);
    let local_fraction = |zone: usize| -> Vec<f64> {
        // Where a class has no demand yet, its first request stays in the zone if that has any capacity.
        let if_no_demand = f64::from(capacity[zone] > 0.0);
        let by_class = fills[zone].local.iter().zip(&demand[zone]);
        by_class.map(|(local, demand)| ratio(*local, *demand, if_no_demand)).collect()
    };
    Plan {
        utilization,
        local_fraction: (0..zones).map(local_fraction).collect(),
        inbound_fraction: fills.iter().map(|fill| ratio(fill.headroom, headroom, 0.0)).collect(),
        spillover_fraction: excess
            .iter()
            .zip(&absorbed)
            .map(|(excess, absorbed)| ratio(excess - absorbed, *excess, 0.0))
            .collect(),
    }
}

impl Plan {
    /// The load of a zone under this demand, its own and that from other zones, in requests per second.
    pub fn zone_load_per_s(&self, demand: &[Vec<f64>], zone: usize) -> f64 {
        let by_class = demand[zone].iter().zip(&self.local_fraction[zone]);
        let local: f64 = by_class.map(|(demand, fraction)| demand * fraction).sum();
        let mut inbound = 0.0;
        for source in 0..demand.len() {
            for (class, spillover) in self.spillover_fraction.iter().enumerate() {
                let outbound = self.outbound_per_s(demand, source, class);
                inbound += outbound * (1.0 - spillover) * self.inbound_fraction[zone];
            }
        }
        local + inbound
    }

    /// The traffic that goes to another region under this demand, in requests per second.
    pub fn spillover_per_s(&self, demand: &[Vec<f64>]) -> f64 {
        let mut total = 0.0;
        for source in 0..demand.len() {
            for (class, spillover) in self.spillover_fraction.iter().enumerate() {
                total += self.outbound_per_s(demand, source, class) * spillover;
            }
        }
        total
    }

    fn outbound_per_s(&self, demand: &[Vec<f64>], zone: usize, class: usize) -> f64 {
        demand[zone][class] * (1.0 - self.local_fraction[zone][class])
    }
}

#[cfg(test)]
mod tests;
