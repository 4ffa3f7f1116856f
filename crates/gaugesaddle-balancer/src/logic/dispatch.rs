//! Dispatch: which queued request is sent next, and to which backend.

use super::LOW;
use crate::interface::*;
use crate::limits::{turn, IDLE};
use crate::records::{Flight, Peer, Request, Sent};
use crate::state::Balancer;

/// Draws by share before all backends are looked through: when so many are taken, most are.
const DRAWS: usize = 8;
/// Parts of what a proxy may hold in the mean from which the allowance shrinks, and at which it is gone.
const CROWDED: (f64, f64) = (0.7, 1.3);
/// So much earlier for classes that are worth less for their work: a place must be free when the best come.
const KEPT_FREE: f64 = 0.4;
/// Part of this proxy's fall budget that it uses: the rest is for skew between proxies and heavy work.
const FALL_MARGIN: f64 = 0.8;
/// Least budget of one proxy in a window: where its part is below one request the random draw by readiness
/// keeps the sum of all proxies near a cold backend's capacity; less would throw its share at warm ones.
const FALL_FLOOR: f64 = 3.0;

impl Balancer {
    /// Work that this proxy may still send to a cold backend inside the present fall window.
    fn budget(&self, now: Time, p: &Peer) -> f64 {
        let spent: f64 = p.spent.iter().filter(|s| now - s.0 < self.cfg.fall_window).map(|s| s.1).sum();
        (self.fall_limit(now, p) / self.users_at_most(p) * FALL_MARGIN).max(FALL_FLOOR) - spent
    }

    pub(super) fn may_send(&self, now: Time, r: &Request) -> bool {
        let safe = |s: &Sent| match self.cfg.classes[r.class].effect {
            Effect::Free => true,
            Effect::Keyed(_, window) => s.never_ran || now + self.cfg.tick < s.at + window,
            Effect::Unsafe => s.never_ran,
        };
        let alone = self.cfg.second_copies || !r.out();
        alone && r.sent.len() < self.cfg.max_attempts as usize && r.sent.iter().all(safe)
    }

    /// A backend for the request: kind by share, backend inside it by readiness, both at random.
    fn draw(&mut self, now: Time, r: &Request) -> Option<BackendId> {
        self.held_mean.at(now, self.out as f64);
        let pool = self.pool_now(r.class);
        let pool = if r.value < LOW { pool / 2.0 } else { pool };
        if self.out as f64 >= pool {
            return None;
        }
        if r.sent.is_empty() {
            let kinds: Vec<(KindId, f64)> = self.kinds.iter().map(|(k, s)| (*k, s.pull)).collect();
            for _ in 0..DRAWS {
                let kind = self.dice.pick(&kinds)?;
                let part = self.dice.unit();
                let drawn = self.kinds.get(&kind).and_then(|k| k.pick(part));
                if let Some(backend) = drawn.filter(|b| self.open_to(now, *b, r)) {
                    return Some(backend);
                }
            }
        }
        let open = self.used.iter().filter(|b| self.open_to(now, **b, r));
        let open: Vec<(BackendId, f64)> = open.map(|b| (*b, self.peers[b].pull)).collect();
        self.dice.pick(&open)
    }

    /// The allowance for chance is for moments: a proxy that has held more than its part for a while must not
    /// go on with it, for a crowded backend chokes by the mean of what it holds. What is left of it, 0 to 1.
    fn allowance(&self, earlier: f64) -> f64 {
        let over = self.held_mean.mean / self.hold.max(1e-9) + earlier;
        1.0 - ((over - CROWDED.0) / (CROWDED.1 - CROWDED.0)).clamp(0.0, 1.0)
    }

    /// How many attempts may be out, for a request of the class.
    fn pool_now(&self, class: usize) -> f64 {
        if !self.many() {
            return self.pool; // its rooms bound a proxy among few: no need to rank classes for every draw
        }
        let density = self.densities();
        let first = density.iter().all(|d| *d <= density[class]);
        self.hold + (self.pool - self.hold) * self.allowance(if first { 0.0 } else { KEPT_FREE })
    }

    /// Whether the backend may be sent this request and has room for it.
    fn open_to(&self, now: Time, id: BackendId, r: &Request) -> bool {
        let Some(p) = self.peers.get(&id).filter(|p| p.used && p.ready > 0.0 && !p.silent) else {
            return false;
        };
        // Never overfill: a crowded backend slows for long, so a full one is drawn again.
        let room = self.room(now, id, p);
        let room = if r.value < LOW { (room / 2.0).ceil() } else { room };
        f64::from(p.out) < room && self.fits(now, p, r)
    }

    /// How many attempts of this proxy a backend may hold: its turns move that between two solvings.
    fn room(&self, now: Time, id: BackendId, p: &Peer) -> f64 {
        let kind = self.kinds.get(&p.entry.kind).filter(|_| self.cfg.limits.learned);
        let Some(search) = kind.map(|k| &k.search) else {
            let factor = self.many().then(|| self.open * (1.0 + self.allowance(0.0)));
            return p.room_now(factor, self.turnless && self.out == 0);
        };
        let all = p.limiter.own(search.limit(turn(now, id, self.turn).1));
        p.room_of(self.cfg.limits.hold(all), !self.many())
    }

    /// Whether the rules let the backend have this request.
    fn fits(&self, now: Time, p: &Peer, r: &Request) -> bool {
        // A repeat outside the scope that knows the key would run twice.
        let known = |s: &Sent| match self.cfg.classes[r.class].effect {
            Effect::Keyed(KeyScope::Zone, _) => s.never_ran || s.to.zone == p.entry.zone,
            Effect::Keyed(KeyScope::Cell, _) => s.never_ran || s.to.cell == p.entry.cell,
            _ => true,
        };
        let fresh = r.sent.iter().all(|s| s.to.id != p.entry.id && known(s));
        p.entry.state == BackendState::Ready && fresh && self.budget(now, p) >= self.work(r.class)
    }

    /// Sends what is held, the densest worth first and the newest first inside it.
    pub(super) fn pump(&mut self, now: Time) {
        if self.held.is_empty() || self.blocked == f64::MAX {
            return;
        }
        let density = self.densities();
        let mut line: Vec<(f64, Time, RequestId, f64)> = Vec::new();
        for id in std::mem::take(&mut self.held) {
            if let Some(r) = self.requests.get(&id) {
                let value = if r.sent.is_empty() { r.value } else { f64::MAX };
                line.push((density[r.class] * r.value, r.came, id, value));
            }
        }
        line.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, _, id, value) in line {
            if value < self.blocked {
                self.held.push(id); // nothing less urgent finds room either, and trying each costs CPU
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else { continue };
            let (again, work) = (!r.sent.is_empty(), self.work(r.class));
            // What never ran has cost no work: only attempts beside those that may have are held to a number.
            let extra = r.sent.iter().any(|s| !s.never_ran);
            let sendable = self.may_send(now, &r) && (!extra || self.classes[r.class].extra >= 1.0);
            let backend = if sendable { self.draw(now, &r) } else { None };
            backend.into_iter().for_each(|b| self.hold_changes(now, b));
            if let Some(p) = backend.and_then(|b| self.peers.get_mut(&b)) {
                self.classes[r.class].extra -= f64::from(extra);
                let (no, backend) = (AttemptNo(r.sent.len() as u32), p.entry.id);
                r.sent.push(Sent { to: p.entry.clone(), at: now, out: true, never_ran: false });
                let others = f64::from(self.tier.proxies - 1) * self.out as f64 / self.ready.max(1.0);
                let (class, sent, late) = (r.class, now, false);
                let first = self.kinds.entry(p.entry.kind).or_default().unloaded.sent(now, class);
                let alone = first || (p.out == 0 && others < IDLE);
                p.out += 1;
                self.held_mean.at(now, self.out as f64);
                self.out += 1;
                p.spent.retain(|s| now - s.0 < self.cfg.fall_window);
                p.spent.push((now, work));
                self.attempts.insert((id, no), Flight { backend, class, sent, late, alone, first });
                self.wake_by(now + self.brisk(backend, r.class));
                self.actions.push(Action::Dispatch { request: id, backend });
            } else if sendable {
                if !again {
                    self.blocked = self.blocked.max(if r.value < LOW { LOW } else { f64::MAX });
                }
                self.held.push(id);
            }
            let over = !sendable && !r.out();
            self.requests.insert(id, r);
            over.then(|| self.give_up(now, id, GivenUp::Spent));
        }
    }
}
