//! Admission: whether a request is admitted, and what each class contributes to the goal.

use super::{LOW, QUEUE_TICKS};
use crate::estimates::{Bucket, KIND_SAMPLES};
use crate::interface::*;
use crate::records::Request;
use crate::state::Balancer;

/// Value of a request whose source did not wait for its retry time, relative to one that did.
const OUT_OF_TURN: f64 = 0.05;
/// Value of another region's request, relative to a local one: it may use half of the capacity, behind those.
const FOREIGN: f64 = 0.4;
/// Minimum value of a client's retry, relative to a first attempt: some are still served in time.
const LATE_FLOOR: f64 = 0.1;
/// Fraction of the time between unloaded latency and objective within which an answer is brisk.
const BRISK: f64 = 0.25;
/// Minimum fraction of the traffic that is admitted, so that recovery is observed.
const MIN_ADMIT: f64 = 0.05;
/// Relative change of the admitted fraction for each answer; twice that, down, for one that is not brisk.
const ADMIT_STEP: f64 = 0.07;
/// Answers per second above which the step shrinks: it must not outrun the answers that show its effect.
const ADMIT_RATE: f64 = 10.0;

impl Balancer {
    pub(super) fn request(&mut self, now: Time, new: Arrival) {
        let Some(c) = self.cfg.classes.get(new.class.0) else { return };
        if self.requests.contains_key(&new.request) {
            return;
        }
        let ratio = self.pressure.retry_ratio;
        let budget = &mut self.classes[new.class.0].extra;
        *budget = (*budget + ratio).min((ratio * KIND_SAMPLES).max(1.0));
        self.arrivals.add(now, 1.0);
        for (i, s) in self.classes.iter_mut().enumerate() {
            s.demand += (f64::from(i == new.class.0) - s.demand) / KIND_SAMPLES;
        }
        let tenant = new.tenant.and_then(|t| self.cfg.tenants.get(t.0).zip(self.buckets.get_mut(t.0)));
        let share = self.tier.traffic_fraction();
        let over_quota = tenant.is_some_and(|(t, bucket)| !bucket.take(now, t.quota_per_s * share));
        let target = c.latency_objective.0 + new.work_hint.unwrap_or_default().times(c.objective_stretch).0;
        let (objective_at, deadline) = (now + Micros(target).min(new.remaining), now + new.remaining);
        // A client's retry has mostly the weight of a late answer left, and serving it before a new request
        // would make both late, all through a retry storm.
        let again = if new.repeat { c.late_weight_fraction.max(LATE_FLOOR) } else { 1.0 };
        let turn = if new.retried_early { OUT_OF_TURN } else { 1.0 };
        let turn = turn * if new.from_other_region { FOREIGN } else { 1.0 };
        let value = again * turn * if over_quota { self.cfg.over_quota_weight_fraction } else { 1.0 };
        let (class, arrived_at, streaming, sent) = (new.class.0, now, false, Vec::new());
        let request = Request { class, arrived_at, objective_at, deadline, value, streaming, sent };
        self.requests.insert(new.request, request);
        self.low += (f64::from(value < LOW) - self.low) / KIND_SAMPLES;
        // No draw without an offer: where there is no other region no other draw changes.
        let part = self.offer.direct_fraction.get(class).copied().unwrap_or(0.0);
        if part > 0.0 && self.rng.unit() < part && self.leave(now, new.request) {
            return;
        }
        // HALB's rate is that of admitted requests: what is shed reaches no backend.
        let storm = self.pressure.admit_per_s;
        let admitted =
            self.admitted(class, value) && storm.is_none_or(|rate| self.storm_admission.take(now, rate));
        self.rate.add(now, f64::from(admitted));
        // Where backends in slow start are limited to less than their fractions, the rest has no backend.
        let pull: f64 = self.kinds.values().map(|k| k.routed_fraction).sum();
        if !admitted {
            return self.give_up(now, new.request, GivenUp::Shed);
        }
        if pull > 0.0 && self.rng.unit() > pull {
            return self.give_up(now, new.request, GivenUp::SlowStart);
        }
        self.queue.push(new.request);
        self.wake_by(now + self.cfg.tick.times(QUEUE_TICKS).min(new.remaining));
    }

    /// Load shedding: classes are admitted by weight per unit of work, the one at the margin by chance.
    fn admitted(&mut self, class: usize, value: f64) -> bool {
        // In a retry storm the storm's rate limit applies if it is lower than the learned fraction.
        let part = |rate: f64| rate / self.arrivals.per_s().unwrap_or(rate).max(1e-9);
        let admit = self.admit.min(self.pressure.admit_per_s.map_or(1.0, part));
        if admit >= 1.0 {
            return true;
        }
        let density = self.densities();
        let share = |i: usize| self.classes[i].demand * self.work(i);
        let all: f64 = (0..density.len()).map(share).sum();
        let over = |i: &usize| density[*i] > density[class];
        let (above, own) = if value < LOW {
            (1.0 - self.low, self.low)
        } else {
            let denser: f64 = (0..density.len()).filter(over).map(share).sum();
            (denser / all * (1.0 - self.low), share(class) / all * (1.0 - self.low))
        };
        self.rng.unit() * own < admit - above
    }

    /// Applies a retry storm's limits. Its bucket starts empty: earlier requests are in flight.
    pub(super) fn set_pressure(&mut self, now: Time, pressure: StormLimits) {
        if self.pressure.admit_per_s.is_none() {
            self.storm_admission = Bucket::empty(now);
        }
        self.pressure = pressure;
    }

    /// The latency up to which an attempt's answer is brisk.
    pub(super) fn brisk(&self, backend: BackendId, class: usize) -> Micros {
        let objective = self.cfg.classes[class].latency_objective.secs();
        let kind = self.backends.get(&backend).and_then(|p| self.kinds.get(&p.entry.kind));
        // Not known yet: at most what a request usually takes, and that fraction of the objective.
        let usual = || self.usual(class).secs().min(objective * BRISK);
        let unloaded = kind.and_then(|k| k.unloaded.get(class)).unwrap_or_else(usual);
        Micros::from_secs(unloaded + (objective - unloaded).max(0.0) * BRISK)
    }

    /// Adjusts the admitted fraction after an answer: many proxies cannot bound a backend's load otherwise.
    pub(super) fn adjust_admission(&mut self, brisk: bool) {
        if !self.many() {
            return; // the limits of so few proxies bound it well enough
        }
        let step = ADMIT_STEP * (ADMIT_RATE / self.rate.per_s().unwrap_or(1.0)).min(1.0);
        // By answers, not arrivals: the slow recovery after deep shedding lets overloaded backends drain.
        let change = if brisk { 1.0 + step } else { 1.0 - 2.0 * step };
        self.admit = (self.admit * change).clamp(MIN_ADMIT, 1.0);
    }

    /// For each class the contribution to the goal of serving one request, per unit of work.
    pub(super) fn densities(&self) -> Vec<f64> {
        let share = |i: usize| self.classes[i].demand.max(1e-3);
        let served = |i: usize| self.classes[i].in_time / share(i);
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
