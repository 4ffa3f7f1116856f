//! Dispatch: which queued request is sent next, and to which backend.

use super::LOW;
use crate::interface::*;
use crate::limits::{turn, IDLE};
use crate::records::{AttemptRecord, BackendRecord, InFlightAttempt, Request};
use crate::state::Balancer;

/// Random draws before all backends are scanned: after this many full ones most are full.
const DRAWS: usize = 8;
/// Load relative to the mean limit from which the allowance shrinks, and at which it is zero.
const CONGESTION: (f64, f64) = (0.7, 1.3);
/// How much earlier that is for classes of lower density: slots stay reserved for the highest.
const RESERVED: f64 = 0.4;
/// Fraction of its fall budget that a proxy uses: the rest is for skew between proxies and heavy work.
const FALL_MARGIN: f64 = 0.8;
/// Minimum budget of one proxy in a window: where its fraction is below one request the random draw keeps the
/// sum of all proxies near the capacity of a backend in slow start; less would send its part to others.
const FALL_FLOOR: f64 = 3.0;

impl Balancer {
    /// Work that this proxy may still send to a backend in slow start in the current fall window.
    fn budget(&self, now: Time, p: &BackendRecord) -> f64 {
        let spent: f64 = p.recent_work.iter().filter(|s| now - s.0 < self.cfg.fall_window).map(|s| s.1).sum();
        (self.fall_limit(now, p) / self.max_users(p) * FALL_MARGIN).max(FALL_FLOOR) - spent
    }

    pub(super) fn may_send(&self, now: Time, r: &Request) -> bool {
        let safe = |s: &AttemptRecord| match self.cfg.classes[r.class].effect {
            Effect::Free => true,
            Effect::Keyed(_, window) => s.never_ran || now + self.cfg.tick < s.sent_at + window,
            Effect::Unsafe => s.never_ran,
        };
        let alone = self.cfg.hedging || !r.has_attempt_in_flight();
        alone && r.sent.len() < self.cfg.max_attempts as usize && r.sent.iter().all(safe)
    }

    /// A backend for the request: kind by traffic fraction, backend within it by readiness, both at random.
    fn draw(&mut self, now: Time, r: &Request) -> Option<BackendId> {
        self.load_mean.at(now, self.in_flight as f64);
        let pool = self.pool_now(r.class);
        let pool = if r.value < LOW { pool / 2.0 } else { pool };
        if self.in_flight as f64 >= pool {
            return None;
        }
        if r.sent.is_empty() {
            let kinds: Vec<(KindId, f64)> = self.kinds.iter().map(|(k, s)| (*k, s.routed_fraction)).collect();
            for _ in 0..DRAWS {
                let kind = self.rng.pick(&kinds)?;
                let part = self.rng.unit();
                let drawn = self.kinds.get(&kind).and_then(|k| k.pick(part));
                if let Some(backend) = drawn.filter(|b| self.open_to(now, *b, r)) {
                    return Some(backend);
                }
            }
        }
        let open = self.used.iter().filter(|b| self.open_to(now, **b, r));
        let open: Vec<(BackendId, f64)> = open.map(|b| (*b, self.backends[b].traffic_fraction)).collect();
        self.rng.pick(&open)
    }

    /// The remaining allowance for chance, 0 to 1. It is for moments: a proxy above its mean limit for longer
    /// must not keep using it, since a backend is overloaded by its mean load.
    fn allowance(&self, earlier: f64) -> f64 {
        let over = self.load_mean.mean / self.mean_limit.max(1e-9) + earlier;
        1.0 - ((over - CONGESTION.0) / (CONGESTION.1 - CONGESTION.0)).clamp(0.0, 1.0)
    }

    /// How many attempts may be in flight, for a request of the class.
    fn pool_now(&self, class: usize) -> f64 {
        if !self.many() {
            return self.pool; // its slots bound a proxy among few: no need to rank classes
        }
        let density = self.densities();
        let first = density.iter().all(|d| *d <= density[class]);
        self.mean_limit + (self.pool - self.mean_limit) * self.allowance(if first { 0.0 } else { RESERVED })
    }

    /// Whether the backend may be sent this request and has a free slot for it.
    fn open_to(&self, now: Time, id: BackendId, r: &Request) -> bool {
        let Some(p) = self.backends.get(&id).filter(|p| p.used && p.ready > 0.0 && !p.unresponsive) else {
            return false;
        };
        // Never exceed the slots: an overloaded backend is slow for long. A full one is drawn again.
        let slots = self.slots(now, id, p);
        let slots = if r.value < LOW { (slots / 2.0).ceil() } else { slots };
        f64::from(p.in_flight) < slots && self.fits(now, p, r)
    }

    /// How many attempts of this proxy a backend may have in flight; turns change that between two solves.
    fn slots(&self, now: Time, id: BackendId, p: &BackendRecord) -> f64 {
        let kind = self.kinds.get(&p.entry.kind).filter(|_| self.cfg.limits.learned);
        let Some(search) = kind.map(|k| &k.search) else {
            let factor = self.many().then(|| self.open * (1.0 + self.allowance(0.0)));
            return p.slots_now(factor, self.without_slots && self.in_flight == 0);
        };
        let all = p.limiter.own(search.limit(turn(now, id, self.turn).1));
        p.slots_for(self.cfg.limits.clamp(all), !self.many())
    }

    /// Whether the rules let the backend have this request.
    fn fits(&self, now: Time, p: &BackendRecord, r: &Request) -> bool {
        // A second attempt outside the scope that knows the key would run twice.
        let known = |s: &AttemptRecord| match self.cfg.classes[r.class].effect {
            Effect::Keyed(KeyScope::Zone, _) => s.never_ran || s.backend.zone == p.entry.zone,
            Effect::Keyed(KeyScope::Cell, _) => s.never_ran || s.backend.cell == p.entry.cell,
            _ => true,
        };
        let fresh = r.sent.iter().all(|s| s.backend.id != p.entry.id && known(s));
        p.entry.state == BackendState::Ready && fresh && self.budget(now, p) >= self.work(r.class)
    }

    /// Sends queued requests by weight per unit of work, the newest first among equals.
    pub(super) fn pump(&mut self, now: Time) {
        if self.queue.is_empty() || self.blocked == f64::MAX {
            return;
        }
        let density = self.densities();
        let mut line: Vec<(f64, Time, RequestId, f64)> = Vec::new();
        for id in std::mem::take(&mut self.queue) {
            if let Some(r) = self.requests.get(&id) {
                let value = if r.sent.is_empty() { r.value } else { f64::MAX };
                line.push((density[r.class] * r.value, r.arrived_at, id, value));
            }
        }
        line.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, _, id, value) in line {
            if value < self.blocked {
                self.queue.push(id); // nothing of lower value finds a slot either, and trying each costs CPU
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else { continue };
            let (again, work) = (!r.sent.is_empty(), self.work(r.class));
            // Attempts that never ran cost no work: the retry budget limits those after ones that may have.
            let extra = r.sent.iter().any(|s| !s.never_ran);
            let sendable = self.may_send(now, &r) && (!extra || self.classes[r.class].extra >= 1.0);
            let backend = if sendable { self.draw(now, &r) } else { None };
            backend.into_iter().for_each(|b| self.record_load(now, b));
            if let Some(p) = backend.and_then(|b| self.backends.get_mut(&b)) {
                self.classes[r.class].extra -= f64::from(extra);
                let (no, backend) = (AttemptNo(r.sent.len() as u32), p.entry.id);
                r.sent.push(AttemptRecord::sent(now, &p.entry));
                let others = f64::from(self.tier.proxies - 1) * self.in_flight as f64 / self.ready.max(1.0);
                let (class, sent, late) = (r.class, now, false);
                let first = self.kinds.entry(p.entry.kind).or_default().unloaded.sent(now, class);
                let alone = first || (p.in_flight == 0 && others < IDLE);
                p.in_flight += 1;
                self.load_mean.at(now, self.in_flight as f64);
                self.in_flight += 1;
                p.recent_work.retain(|s| now - s.0 < self.cfg.fall_window);
                p.recent_work.push((now, work));
                self.attempts
                    .insert((id, no), InFlightAttempt { backend, class, sent_at: sent, late, alone, first });
                self.wake_by(now + self.brisk(backend, r.class));
                self.actions.push(Action::Dispatch { request: id, backend });
            } else if sendable {
                if !again {
                    self.blocked = self.blocked.max(if r.value < LOW { LOW } else { f64::MAX });
                }
                self.queue.push(id);
            }
            let over = !sendable && !r.has_attempt_in_flight();
            self.requests.insert(id, r);
            over.then(|| self.give_up(now, id, GivenUp::Exhausted));
        }
    }
}
