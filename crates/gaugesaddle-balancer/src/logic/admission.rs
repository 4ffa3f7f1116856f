//! Admission control and load shedding, by the contribution of each class to the operator's goal.

use super::{LOW_VALUE, QUEUE_TICKS};
use crate::estimates::{TokenBucket, KIND_SAMPLES};
use crate::interface::*;
use crate::records::Request;
use crate::state::Balancer;

/// Value of a request whose source retried before its retry time, relative to one that waited.
const EARLY_RETRY_VALUE: f64 = 0.05;
/// Value of another region's request, relative to a local one: lower priority, half of the capacity at most.
const OTHER_REGION_VALUE: f64 = 0.4;
/// Minimum value of a client's retry, relative to a first attempt: some retries are still served in time.
const MIN_RETRY_VALUE: f64 = 0.1;
/// Fraction of the time between unloaded latency and objective within which an answer counts as fast.
const FAST_FRACTION: f64 = 0.25;
/// Minimum fraction of the traffic that is admitted, so that a recovery can be observed.
const MIN_ADMIT: f64 = 0.05;
/// Relative increase of the admitted fraction for a fast answer; it decreases by twice that for any other.
const ADMIT_STEP: f64 = 0.07;
/// Rate above which the step shrinks: the fraction must not change faster than answers show the effect.
const ADMIT_STEP_RATE_PER_S: f64 = 10.0;

impl Balancer {
    pub(super) fn handle_request(&mut self, now: Time, new: Arrival) {
        let Some(c) = self.cfg.classes.get(new.class.0) else { return };
        if self.requests.contains_key(&new.request) {
            return;
        }
        let ratio = self.storm_limits.retry_ratio;
        let retry_budget = &mut self.classes[new.class.0].retry_budget;
        *retry_budget = (*retry_budget + ratio).min((ratio * KIND_SAMPLES).max(1.0));
        self.arrivals.add(now, 1.0);
        for (i, s) in self.classes.iter_mut().enumerate() {
            s.demand += (f64::from(i == new.class.0) - s.demand) / KIND_SAMPLES;
        }
        let tenant = new.tenant.and_then(|t| self.cfg.tenants.get(t.0).zip(self.quota_buckets.get_mut(t.0)));
        let share = self.tier.traffic_fraction();
        let over_quota = tenant.is_some_and(|(t, bucket)| !bucket.take(now, t.quota_per_s * share));
        let target = c.latency_objective.0 + new.work_hint.unwrap_or_default().times(c.objective_stretch).0;
        let (objective_at, deadline) = (now + Micros(target).min(new.remaining), now + new.remaining);
        // A client's retry mostly has only the weight of a late answer. Serving it before a new request would
        // make both late, for the whole retry storm.
        let retry = if new.repeat { c.late_weight_fraction.max(MIN_RETRY_VALUE) } else { 1.0 };
        let source = if new.retried_early { EARLY_RETRY_VALUE } else { 1.0 };
        let source = source * if new.from_other_region { OTHER_REGION_VALUE } else { 1.0 };
        let value = retry * source * if over_quota { self.cfg.over_quota_weight_fraction } else { 1.0 };
        let (class, arrived_at, streaming, attempts) = (new.class.0, now, false, Vec::new());
        let request = Request { class, arrived_at, objective_at, deadline, value, streaming, attempts };
        self.requests.insert(new.request, request);
        self.low_fraction += (f64::from(value < LOW_VALUE) - self.low_fraction) / KIND_SAMPLES;
        // Without an offer no random number is drawn, so decisions are the same as without regions.
        let direct_fraction = self.offer.direct_fraction.get(class).copied().unwrap_or(0.0);
        if direct_fraction > 0.0 && self.rng.unit() < direct_fraction && self.try_forward(now, new.request) {
            return;
        }
        // HALB uses the rate of admitted requests: rejected ones reach no backend.
        let storm = self.storm_limits.admit_per_s;
        let admitted =
            self.admitted(class, value) && storm.is_none_or(|rate| self.storm_bucket.take(now, rate));
        self.rate.add(now, f64::from(admitted));
        // If backends in slow start are limited to less than their fractions, the rest has no backend.
        let routed_fraction: f64 = self.kinds.values().map(|k| k.routed_fraction).sum();
        if !admitted {
            return self.abandon(now, new.request, AbandonReason::Shed);
        }
        if routed_fraction > 0.0 && self.rng.unit() > routed_fraction {
            return self.abandon(now, new.request, AbandonReason::SlowStart);
        }
        self.queue.push(new.request);
        self.schedule_by(now + self.cfg.tick.times(QUEUE_TICKS).min(new.remaining));
    }

    /// Load shedding: classes are admitted by weight per unit of work, the marginal class at random.
    fn admitted(&mut self, class: usize, value: f64) -> bool {
        // In a retry storm its rate limit applies if that is lower than the learned fraction.
        let part = |rate: f64| rate / self.arrivals.per_s().unwrap_or(rate).max(1e-9);
        let admitted_fraction = self.admitted_fraction.min(self.storm_limits.admit_per_s.map_or(1.0, part));
        if admitted_fraction >= 1.0 {
            return true;
        }
        let density = self.densities();
        let share = |i: usize| self.classes[i].demand * self.work(i);
        let all: f64 = (0..density.len()).map(share).sum();
        let over = |i: &usize| density[*i] > density[class];
        let (above, own) = if value < LOW_VALUE {
            (1.0 - self.low_fraction, self.low_fraction)
        } else {
            let denser: f64 = (0..density.len()).filter(over).map(share).sum();
            (denser / all * (1.0 - self.low_fraction), share(class) / all * (1.0 - self.low_fraction))
        };
        self.rng.unit() * own < admitted_fraction - above
    }

    /// Applies the limits of a retry storm. The bucket is initially empty: earlier requests are in flight.
    pub(super) fn set_storm_limits(&mut self, now: Time, limits: StormLimits) {
        if self.storm_limits.admit_per_s.is_none() {
            self.storm_bucket = TokenBucket::empty(now);
        }
        self.storm_limits = limits;
    }

    /// Latency up to which an attempt's answer counts as fast.
    pub(super) fn fast_time(&self, backend: BackendId, class: usize) -> Micros {
        let objective = self.cfg.classes[class].latency_objective.secs();
        let kind = self.backends.get(&backend).and_then(|p| self.kinds.get(&p.entry.kind));
        // An unknown latency is at most the usual one, and at most that fraction of the objective.
        let usual = || self.usual_latency(class).secs().min(objective * FAST_FRACTION);
        let unloaded = kind.and_then(|k| k.unloaded.get(class)).unwrap_or_else(usual);
        Micros::from_secs(unloaded + (objective - unloaded).max(0.0) * FAST_FRACTION)
    }

    /// Adjusts the admitted fraction after an answer. Many proxies cannot bound a backend's load otherwise.
    pub(super) fn adjust_admission(&mut self, is_fast: bool) {
        if !self.shares_slots() {
            return; // with few proxies the backends' slots bound the load
        }
        let step = ADMIT_STEP * (ADMIT_STEP_RATE_PER_S / self.rate.per_s().unwrap_or(1.0)).min(1.0);
        // Per answer, not per arrival: slow recovery after heavy shedding lets overloaded backends drain.
        let change = if is_fast { 1.0 + step } else { 1.0 - 2.0 * step };
        self.admitted_fraction = (self.admitted_fraction * change).clamp(MIN_ADMIT, 1.0);
    }

    /// For each class the contribution to the goal of serving one request, per unit of work.
    pub(super) fn densities(&self) -> Vec<f64> {
        let share = |i: usize| self.classes[i].demand.max(1e-3);
        let served = |i: usize| self.classes[i].served_in_time / share(i);
        let classes = self.cfg.classes.iter().enumerate();
        let mean: f64 = classes.clone().map(|(i, c)| c.priority_weight * share(i)).sum();
        let worst = (0..self.classes.len()).map(served).fold(f64::MAX, f64::min);
        let density = |(i, c): (usize, &Class)| {
            let lowest = if served(i) <= worst + 0.02 { self.cfg.goal_worst_class / share(i) } else { 0.0 };
            (self.cfg.goal_total * c.priority_weight / mean + lowest) / self.work(i)
        };
        classes.map(density).collect()
    }
}
