//! Fractions of a soft quantity by demand, with a floor and a maximum: the same for all that have the same reports.

use gaugesaddle_balancer::{Micros, Time};

/// How demands become fractions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllocationLimits {
    /// This fraction of the total is divided equally, whatever the demands: a member that has just joined, or reports nothing,
    /// can begin.
    pub floor: f64,
    /// No fraction exceeds the equal one by more than this factor: what a false report can take.
    pub max_multiple: f64,
}

impl Default for AllocationLimits {
    fn default() -> AllocationLimits {
        // A tenth: a new member serves a tenth of an equal fraction at once. Eight: traffic as uneven as 1 to 5 is not
        // limited, and of 30 proxies one with a false report takes no more than a quarter of what is divided by demand.
        AllocationLimits { floor: 0.1, max_multiple: 8.0 }
    }
}

/// The fractions of members by their demands, in their order; they sum to one. `None`, a negative number or one that is not
/// finite counts as not reported, and is taken for the mean of the reported ones.
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
    // All at the maximum: it is no maximum then, as in a tier of few.
    if remaining > 1e-9 {
        let sum: f64 = fractions.iter().sum();
        let equal = 1.0 / weights.len() as f64;
        fractions.iter_mut().for_each(|f| *f += remaining * if sum > 0.0 { *f / sum } else { equal });
    }
    fractions
}

/// Weight of the newest observation in a mean rate: with an observation each half second a mean follows a jump within two
/// seconds, and chance among some ten requests a second is a fifth.
const NEWEST_WEIGHT: f64 = 0.25;
/// Number of observations that such a mean rests on, about.
const MEAN_OBSERVATIONS: f64 = 2.0 / NEWEST_WEIGHT - 1.0;
/// A reported demand that is off by less than this fraction of it, or by less than so many standard deviations of the count
/// that the mean rests on, stands: it moves the fractions of all others.
const DEMAND_MIN_CHANGE: f64 = 0.1;
const DEMAND_DEVIATIONS: f64 = 2.0;

/// An exponential moving average of a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateEstimator {
    per_s: Option<f64>,
}

impl RateEstimator {
    /// Records the events in the `secs` (above 0) since the last observation; returns the mean rate per second.
    pub fn record(&mut self, events: u32, secs: f64) -> f64 {
        let now = f64::from(events) / secs;
        let mean = self.per_s.map_or(now, |mean| mean + NEWEST_WEIGHT * (now - mean));
        *self.per_s.insert(mean)
    }
}

/// The demand that a proxy reports to the others: the mean rate of its arrivals, which stands until it is off by more than
/// chance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandEstimator {
    observations: u32,
    rate: RateEstimator,
    reported: Option<f64>,
}

impl DemandEstimator {
    /// Records the arrivals in the `secs` since the last observation; returns the demand to report, in requests per second.
    /// `None` at first: the arrivals so far of a proxy that has just started say little about those to come, and the others
    /// assume the mean of theirs.
    pub fn record(&mut self, arrivals: u32, secs: f64) -> Option<f64> {
        let secs = secs.max(1e-3);
        let mean = self.rate.record(arrivals, secs);
        self.observations = self.observations.saturating_add(1);
        if f64::from(self.observations) < MEAN_OBSERVATIONS {
            return None;
        }
        let reported = self.reported.unwrap_or(mean);
        let chance = DEMAND_DEVIATIONS * (reported.max(mean) / (MEAN_OBSERVATIONS * secs)).sqrt();
        let has_changed = (mean - reported).abs() > chance.max(DEMAND_MIN_CHANGE * reported);
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
    /// A target that differs by less than this fraction of the present one is noise.
    min_change: f64,
    /// Time constant: two thirds of the way take this long.
    duration: Micros,
}

impl SmoothedValue {
    /// A value at its target.
    pub fn new(now: Time, value: f64, min_change: f64, duration: Micros) -> SmoothedValue {
        SmoothedValue { value, target: value, at: now, min_change, duration }
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
        let passed = (now - self.at).secs() / self.duration.secs().max(1e-6);
        self.target + (self.value - self.target) * (-passed).exp()
    }
}

#[cfg(test)]
mod tests;
