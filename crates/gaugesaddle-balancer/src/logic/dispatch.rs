//! Dispatch of queued requests: their order, and the backend of each attempt.

use super::LOW_VALUE;
use crate::interface::*;
use crate::limits::{turn, MAX_IDLE_LOAD};
use crate::records::{AttemptRecord, BackendRecord, InFlightAttempt, Request};
use crate::state::Balancer;

/// Random draws before all backends are scanned: if all drawn ones are full, most backends are full.
const MAX_DRAWS: usize = 8;
/// Load relative to the mean limit from which the burst allowance shrinks, and at which it is zero.
const BURST_LOAD_RANGE: (f64, f64) = (0.7, 1.3);
/// Offset of that load for classes of lower density: slots are reserved for the highest density.
const CLASS_LOAD_OFFSET: f64 = 0.4;
/// Fraction of its fall budget that a proxy uses: the rest covers skew between proxies and heavy requests.
const FALL_BUDGET_FRACTION: f64 = 0.8;
/// Minimum budget of one proxy in a window: if its fraction is below one request, the random draw keeps the
/// sum of all proxies near the capacity of a backend in slow start; less would send its traffic to others.
const MIN_FALL_BUDGET: f64 = 3.0;

impl Balancer {
    /// Work that this proxy may still send to a backend in slow start in the current fall window.
    fn fall_budget(&self, now: Time, p: &BackendRecord) -> f64 {
        let spent: f64 = p.recent_work.iter().filter(|s| now - s.0 < self.cfg.fall_window).map(|s| s.1).sum();
        (self.fall_limit(now, p) / self.max_users(p) * FALL_BUDGET_FRACTION).max(MIN_FALL_BUDGET) - spent
    }

    pub(super) fn may_send(&self, now: Time, r: &Request) -> bool {
        let safe = |s: &AttemptRecord| match self.cfg.classes[r.class].effect {
            Effect::Free => true,
            Effect::Keyed(_, window) => s.never_ran || now + self.cfg.tick < s.sent_at + window,
            Effect::Unsafe => s.never_ran,
        };
        let alone = self.cfg.hedging || !r.has_attempt_in_flight();
        alone && r.attempts.len() < self.cfg.max_attempts as usize && r.attempts.iter().all(safe)
    }

    /// Picks a backend at random: the kind by traffic fraction, the backend within it by readiness.
    fn pick_backend(&mut self, now: Time, r: &Request) -> Option<BackendId> {
        self.mean_in_flight.update(now, self.in_flight as f64);
        let max_in_flight = self.in_flight_limit(r.class);
        let max_in_flight = if r.value < LOW_VALUE { max_in_flight / 2.0 } else { max_in_flight };
        if self.in_flight as f64 >= max_in_flight {
            return None;
        }
        if r.attempts.is_empty() {
            let kinds: Vec<(KindId, f64)> = self.kinds.iter().map(|(k, s)| (*k, s.routed_fraction)).collect();
            for _ in 0..MAX_DRAWS {
                let kind = self.rng.pick(&kinds)?;
                let point = self.rng.unit();
                let drawn = self.kinds.get(&kind).and_then(|k| k.pick(point));
                if let Some(backend) = drawn.filter(|b| self.can_accept(now, *b, r)) {
                    return Some(backend);
                }
            }
        }
        let open = self.used.iter().filter(|b| self.can_accept(now, **b, r));
        let open: Vec<(BackendId, f64)> = open.map(|b| (*b, self.backends[b].traffic_fraction)).collect();
        self.rng.pick(&open)
    }

    /// The remaining allowance for random bursts, 0 to 1. A proxy above its mean limit for longer must not
    /// keep using it, since a backend is overloaded by its mean load.
    fn burst_allowance(&self, load_offset: f64) -> f64 {
        let over = self.mean_in_flight.mean / self.mean_limit.max(1e-9) + load_offset;
        1.0 - ((over - BURST_LOAD_RANGE.0) / (BURST_LOAD_RANGE.1 - BURST_LOAD_RANGE.0)).clamp(0.0, 1.0)
    }

    /// Maximum attempts in flight for a request of the class to be dispatched.
    fn in_flight_limit(&self, class: usize) -> f64 {
        if !self.shares_slots() {
            return self.max_in_flight; // with few proxies the slots bound the load without ranking classes
        }
        let density = self.densities();
        let first = density.iter().all(|d| *d <= density[class]);
        self.mean_limit
            + (self.max_in_flight - self.mean_limit)
                * self.burst_allowance(if first { 0.0 } else { CLASS_LOAD_OFFSET })
    }

    /// Whether the backend may be sent this request and has a free slot for it.
    fn can_accept(&self, now: Time, id: BackendId, r: &Request) -> bool {
        let Some(p) = self.backends.get(&id).filter(|p| p.used && p.readiness > 0.0 && !p.unresponsive)
        else {
            return false;
        };
        // The slots are never exceeded: an overloaded backend stays slow. If it is full, another is drawn.
        let slots = self.slots(now, id, p);
        let slots = if r.value < LOW_VALUE { (slots / 2.0).ceil() } else { slots };
        f64::from(p.in_flight) < slots && self.is_eligible(now, p, r)
    }

    /// Maximum attempts of this proxy in flight at a backend; turns change it between two solves.
    fn slots(&self, now: Time, id: BackendId, p: &BackendRecord) -> f64 {
        let kind = self.kinds.get(&p.entry.kind).filter(|_| self.cfg.limits.learned);
        let Some(search) = kind.map(|k| &k.search) else {
            let factor = self.shares_slots().then(|| self.limit_factor * (1.0 + self.burst_allowance(0.0)));
            return p.slots_now(factor, self.without_slots && self.in_flight == 0);
        };
        let all = p.limiter.limit(search.limit(turn(now, id, self.turn_length).1));
        p.slots_for(self.cfg.limits.clamp(all), !self.shares_slots())
    }

    /// Whether the backend is ready, not tried yet, within the key's scope and within its fall budget.
    fn is_eligible(&self, now: Time, p: &BackendRecord, r: &Request) -> bool {
        // Backends outside the scope of the key would run a second attempt again.
        let in_scope = |s: &AttemptRecord| match self.cfg.classes[r.class].effect {
            Effect::Keyed(KeyScope::Zone, _) => s.never_ran || s.backend.zone == p.entry.zone,
            Effect::Keyed(KeyScope::Cell, _) => s.never_ran || s.backend.cell == p.entry.cell,
            _ => true,
        };
        let untried = r.attempts.iter().all(|s| s.backend.id != p.entry.id && in_scope(s));
        p.entry.state == BackendState::Ready && untried && self.fall_budget(now, p) >= self.work(r.class)
    }

    /// Dispatches queued requests in the order of weight per unit of work; among equals the newest first.
    pub(super) fn dispatch_queued(&mut self, now: Time) {
        if self.queue.is_empty() || self.blocked_below == f64::MAX {
            return;
        }
        let density = self.densities();
        let mut candidates: Vec<(f64, Time, RequestId, f64)> = Vec::new();
        for id in std::mem::take(&mut self.queue) {
            if let Some(r) = self.requests.get(&id) {
                let value = if r.attempts.is_empty() { r.value } else { f64::MAX };
                candidates.push((density[r.class] * r.value, r.arrived_at, id, value));
            }
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, _, id, value) in candidates {
            if value < self.blocked_below {
                self.queue.push(id); // no request of lower value finds a slot, and trying each costs CPU
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else { continue };
            let (is_retry, work) = (!r.attempts.is_empty(), self.work(r.class));
            // The retry budget limits only retries after an attempt that may have run: others caused no work.
            let budgeted = r.attempts.iter().any(|s| !s.never_ran);
            let sendable = self.may_send(now, &r) && (!budgeted || self.classes[r.class].retry_budget >= 1.0);
            let backend = if sendable { self.pick_backend(now, &r) } else { None };
            backend.into_iter().for_each(|b| self.record_load(now, b));
            if let Some(p) = backend.and_then(|b| self.backends.get_mut(&b)) {
                self.classes[r.class].retry_budget -= f64::from(budgeted);
                let (no, backend) = (AttemptNo(r.attempts.len() as u32), p.entry.id);
                r.attempts.push(AttemptRecord::dispatched(now, &p.entry));
                let others = f64::from(self.tier.proxies - 1) * self.in_flight as f64 / self.usable.max(1.0);
                let (class, sent, late) = (r.class, now, false);
                let first = self.kinds.entry(p.entry.kind).or_default().unloaded.sent(now, class);
                let alone = first || (p.in_flight == 0 && others < MAX_IDLE_LOAD);
                p.in_flight += 1;
                self.mean_in_flight.update(now, self.in_flight as f64);
                self.in_flight += 1;
                p.recent_work.retain(|s| now - s.0 < self.cfg.fall_window);
                p.recent_work.push((now, work));
                self.attempts
                    .insert((id, no), InFlightAttempt { backend, class, sent_at: sent, late, alone, first });
                self.schedule_by(now + self.fast_time(backend, r.class));
                self.actions.push(Action::Dispatch { request: id, backend });
            } else if sendable {
                if !is_retry {
                    self.blocked_below =
                        self.blocked_below.max(if r.value < LOW_VALUE { LOW_VALUE } else { f64::MAX });
                }
                self.queue.push(id);
            }
            let over = !sendable && !r.has_attempt_in_flight();
            self.requests.insert(id, r);
            over.then(|| self.abandon(now, id, AbandonReason::Exhausted));
        }
    }
}
