//! Admission: whether a request is let in, and what each class is worth to the goal.

use super::{HELD_TICKS, LOW};
use crate::estimates::Bucket;
use crate::estimates::KIND_SAMPLES;
use crate::interface::*;
use crate::records::Request;
use crate::state::Balancer;

/// Worth of a request whose source comes before it was told to, beside one in its turn.
const OUT_OF_TURN: f64 = 0.05;
/// Worth of another region's request beside an own one: it finds half of the room, and waits behind the own.
const FOREIGN: f64 = 0.4;
/// Least worth of a client's repeat beside a first try: some still come in time.
const LATE_FLOOR: f64 = 0.1;
/// A brisk answer comes in this part of the time from an unloaded one to the aim: at twice that tails miss.
const BRISK: f64 = 0.25;
/// Least part of the traffic that is let in, so that recovery is seen.
const ADMIT_LEAST: f64 = 0.05;
/// Change of the admitted part for each answer, twice that for one that is not brisk: it settles at a third.
const ADMIT_STEP: f64 = 0.07;
/// Answers a second from which the step is cut: it must not outrun the answers that tell its effect.
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
            s.asked += (f64::from(i == new.class.0) - s.asked) / KIND_SAMPLES;
        }
        let tenant = new.tenant.and_then(|t| self.cfg.tenants.get(t.0).zip(self.buckets.get_mut(t.0)));
        let share = self.tier.share();
        let over_quota = tenant.is_some_and(|(t, bucket)| !bucket.take(now, t.quota_per_s * share));
        let aim = c.aim.0 + new.work_hint.unwrap_or_default().times(c.aim_stretch).0;
        let (aim, deadline) = (now + Micros(aim).min(new.time_left), now + new.time_left);
        // A client that comes again waited for its first try: what is left to earn is mostly the late worth,
        // and serving it before a new request would make both late, all through a storm of repeats.
        let again = if new.repeat { c.late_worth.max(LATE_FLOOR) } else { 1.0 };
        let turn = if new.out_of_turn { OUT_OF_TURN } else { 1.0 };
        let turn = turn * if new.foreign { FOREIGN } else { 1.0 };
        let value = again * turn * if over_quota { self.cfg.over_quota_worth } else { 1.0 };
        let (class, came, streaming, sent) = (new.class.0, now, false, Vec::new());
        self.requests.insert(new.request, Request { class, came, aim, deadline, value, streaming, sent });
        self.low += (f64::from(value < LOW) - self.low) / KIND_SAMPLES;
        // No draw without an offer: where there is no other region nothing else is drawn differently either.
        let part = self.offer.at_once.get(class).copied().unwrap_or(0.0);
        if part > 0.0 && self.dice.unit() < part && self.leave(now, new.request) {
            return;
        }
        // What is shed reaches no backend: the formula's rate is of what is let in.
        let storm = self.pressure.let_in_per_s;
        let admitted = self.admitted(class, value) && storm.is_none_or(|rate| self.let_in.take(now, rate));
        self.rate.add(now, f64::from(admitted));
        // Where cold backends are held to less than their parts, the rest of the traffic has no place.
        let pull: f64 = self.kinds.values().map(|k| k.pull).sum();
        if !admitted {
            return self.give_up(now, new.request, GivenUp::Shed);
        }
        if pull > 0.0 && self.dice.unit() > pull {
            return self.give_up(now, new.request, GivenUp::Cold);
        }
        self.held.push(new.request);
        self.wake_by(now + self.cfg.tick.times(HELD_TICKS).min(new.time_left));
    }

    /// Load shedding: what is admitted covers the densest worth first; the layer at the edge is thinned.
    fn admitted(&mut self, class: usize, value: f64) -> bool {
        // In a storm the budget's part of what comes, if that is less than what answers leave.
        let part = |rate: f64| rate / self.arrivals.per_s().unwrap_or(rate).max(1e-9);
        let admit = self.admit.min(self.pressure.let_in_per_s.map_or(1.0, part));
        if admit >= 1.0 {
            return true;
        }
        let density = self.densities();
        let share = |i: usize| self.classes[i].asked * self.work(i);
        let all: f64 = (0..density.len()).map(share).sum();
        let over = |i: &usize| density[*i] > density[class];
        let (above, own) = if value < LOW {
            (1.0 - self.low, self.low)
        } else {
            let denser: f64 = (0..density.len()).filter(over).map(share).sum();
            (denser / all * (1.0 - self.low), share(class) / all * (1.0 - self.low))
        };
        self.dice.unit() * own < admit - above
    }

    /// A storm's budget begins empty: what has been let in before it is still out.
    pub(super) fn press(&mut self, now: Time, pressure: Pressure) {
        if self.pressure.let_in_per_s.is_none() {
            self.let_in = Bucket::empty(now);
        }
        self.pressure = pressure;
    }

    /// Until when an attempt's answer is brisk.
    pub(super) fn brisk(&self, backend: BackendId, class: usize) -> Micros {
        let aim = self.cfg.classes[class].aim.secs();
        let kind = self.peers.get(&backend).and_then(|p| self.kinds.get(&p.entry.kind));
        // Not known yet: no more than what a request usually takes, nor than the part of an aim for the rest.
        let usual = || self.usual(class).secs().min(aim * BRISK);
        let unloaded = kind.and_then(|k| k.unloaded.get(class)).unwrap_or_else(usual);
        Micros::from_secs(unloaded + (aim - unloaded).max(0.0) * BRISK)
    }

    /// Many proxies cannot bound what a backend holds; each learns from its answers that all hold too much.
    pub(super) fn gauge(&mut self, brisk: bool) {
        if !self.many() {
            return; // the rooms of so few proxies bound it well enough
        }
        let step = ADMIT_STEP * (ADMIT_RATE / self.rate.per_s().unwrap_or(1.0)).min(1.0);
        // By answers, not by arrivals: the slow return after deep shedding lets choked backends rest.
        let change = if brisk { 1.0 + step } else { 1.0 - 2.0 * step };
        self.admit = (self.admit * change).clamp(ADMIT_LEAST, 1.0);
    }

    /// Worth to the goal of serving a request of each class, for each unit of work.
    pub(super) fn densities(&self) -> Vec<f64> {
        let share = |i: usize| self.classes[i].asked.max(1e-3);
        let served = |i: usize| self.classes[i].in_time / share(i);
        let classes = self.cfg.classes.iter().enumerate();
        let mean: f64 = classes.clone().map(|(i, c)| c.worth * share(i)).sum();
        let worst = (0..self.classes.len()).map(served).fold(f64::MAX, f64::min);
        let density = |(i, c): (usize, &Class)| {
            let lowest = if served(i) <= worst + 0.02 { self.cfg.goal_worst_class / share(i) } else { 0.0 };
            (self.cfg.goal_whole * c.worth / mean + lowest) / self.work(i)
        };
        classes.map(density).collect()
    }
}
