//! Fractions of a soft quantity by demand, with a floor and a maximum. Proxies that have the same reports compute the same
//! fractions.

use gaugesaddle_balancer::{Micros, Time};

/// Limits of the fractions that are computed from demands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllocationLimits {
    /// Fraction of the total that is divided equally, whatever the demands, so that a member that has just joined or
    /// reports no demand can start.
    pub floor: f64,
    /// No fraction exceeds the equal one by more than this factor, which limits the effect of a false report.
    pub max_multiple: f64,
}

impl Default for AllocationLimits {
    fn default() -> AllocationLimits {
        // With a floor of a tenth a new member serves a tenth of an equal fraction at once. A factor of eight does not
        // limit traffic as uneven as 1 to 5, and of 30 proxies one with a false report takes no more than a quarter of
        // the total.
        AllocationLimits { floor: 0.1, max_multiple: 8.0 }
    }
}

/// The fractions of members by their demands, in their order; they sum to one. `None`, a negative or a non-finite number
/// counts as not reported, and is replaced by the mean of the reported ones.
pub fn allocate_by_demand(limits: &AllocationLimits, demands: &[Option<f64>]) -> Vec<f64> {
    let count = demands.len() as f64;
    if demands.is_empty() {
        return Vec::new();
    }
    let reported = |demand: &Option<f64>| demand.filter(|demand| demand.is_finite() && *demand >= 0.0);
    // Relative to the greatest: sums of the greatest representable numbers would overflow.
    let greatest = demands.iter().filter_map(reported).fold(0.0, f64::max);
    let relative = |demand: f64| if greatest > 0.0 { demand / greatest } else { 0.0 };
    let known: Vec<f64> = demands.iter().filter_map(reported).map(relative).collect();
    let mean = if known.is_empty() { 0.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    let weights: Vec<f64> = demands.iter().map(|demand| reported(demand).map_or(mean, relative)).collect();
    let by_demand = limit_fractions(&weights, (limits.max_multiple / count).max(1.0 / count));
    by_demand.into_iter().map(|fraction| limits.floor / count + (1.0 - limits.floor) * fraction).collect()
}

/// Fractions in proportion to the weights, none above `max`; the excess goes to the others in proportion to theirs.
fn limit_fractions(weights: &[f64], max: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by(|a, b| weights[*b].total_cmp(&weights[*a]).then(a.cmp(b)));
    let mut fractions = vec![0.0; weights.len()];
    let (mut remaining, mut remaining_weight) = (1.0, weights.iter().sum::<f64>());
    for (rank, i) in order.iter().enumerate() {
        let others = (weights.len() - rank) as f64;
        // Where no remaining member has a weight, the remainder is divided equally.
        let due = if remaining_weight > 1e-12 {
            remaining * weights[*i] / remaining_weight
        } else {
            remaining / others
        };
        fractions[*i] = due.min(max);
        remaining -= fractions[*i];
        remaining_weight -= weights[*i];
    }
    // All fractions are at the maximum, as in a small tier: the remainder is distributed beyond it.
    if remaining > 1e-9 {
        let sum: f64 = fractions.iter().sum();
        let equal = 1.0 / weights.len() as f64;
        fractions.iter_mut().for_each(|f| *f += remaining * if sum > 0.0 { *f / sum } else { equal });
    }
    fractions
}

/// Weight of the newest observation in a mean rate: with two observations per second the mean follows a step within two
/// seconds, and at about ten requests per second its random deviation is a fifth.
const NEWEST_WEIGHT: f64 = 0.25;
/// Approximate number of observations that such a mean covers.
const MEAN_OBSERVATIONS: f64 = 2.0 / NEWEST_WEIGHT - 1.0;
/// A reported demand is not updated for a change below this fraction of it, since each update moves the fractions of all
/// other members.
const DEMAND_MIN_CHANGE: f64 = 0.1;
/// A reported demand is not updated for a change below this number of standard deviations of the count that the mean
/// covers.
const DEMAND_DEVIATIONS: f64 = 2.0;

/// An exponential moving average of a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateEstimator {
    per_s: Option<f64>,
}

impl RateEstimator {
    /// Records the events in the `secs` (above 0) since the last observation; returns the mean rate per second.
    pub fn record(&mut self, events: u32, secs: f64) -> f64 {
        let observed = f64::from(events) / secs;
        let mean = self.per_s.map_or(observed, |mean| mean + NEWEST_WEIGHT * (observed - mean));
        *self.per_s.insert(mean)
    }
}

/// The demand that a proxy reports to the others: the mean rate of its arrivals, updated only when the change exceeds
/// random variation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandEstimator {
    observations: u32,
    rate: RateEstimator,
    reported: Option<f64>,
}

impl DemandEstimator {
    /// Records the arrivals in the `secs` since the last observation; returns the demand to report, in requests per second.
    /// `None` until the mean covers enough observations: the first arrivals after a start predict little, and the other
    /// members substitute the mean of the reported demands.
    pub fn record(&mut self, arrivals: u32, secs: f64) -> Option<f64> {
        let secs = secs.max(1e-3);
        let mean = self.rate.record(arrivals, secs);
        self.observations = self.observations.saturating_add(1);
        if f64::from(self.observations) < MEAN_OBSERVATIONS {
            return None;
        }
        let reported = self.reported.unwrap_or(mean);
        let noise = DEMAND_DEVIATIONS * (reported.max(mean) / (MEAN_OBSERVATIONS * secs)).sqrt();
        let has_changed = (mean - reported).abs() > noise.max(DEMAND_MIN_CHANGE * reported);
        self.reported = Some(if has_changed { mean } else { reported });
        self.reported
    }
}

/// A value that approaches its target exponentially.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SmoothedValue {
    value: f64,
    target: f64,
    at: Time,
    /// A target that differs by less than this fraction of the present one is ignored as noise.
    min_change: f64,
    /// Time constant: about two thirds of a change are completed within it.
    time_constant: Micros,
}

impl SmoothedValue {
    /// A value at its target.
    pub fn new(now: Time, value: f64, min_change: f64, time_constant: Micros) -> SmoothedValue {
        SmoothedValue { value, target: value, at: now, min_change, time_constant }
    }

    /// Sets the target as of now.
    pub fn set_target(&mut self, now: Time, target: f64) {
        self.value = self.value(now);
        self.at = self.at.max(now);
        if (target - self.target).abs() > self.min_change * self.target {
            self.target = target;
        }
    }

    /// The present value.
    pub fn value(&self, now: Time) -> f64 {
        let passed = (now - self.at).secs() / self.time_constant.secs().max(1e-6);
        self.target + (self.value - self.target) * (-passed).exp()
    }
}

#[cfg(test)]
mod tests;
