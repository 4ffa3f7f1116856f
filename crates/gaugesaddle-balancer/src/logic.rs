//! The decisions of a proxy. Their interface (events, actions, settings) is `src/interface.rs`; records of
//! backends, kinds, classes and requests are in `src/records.rs`.
//!
//! Normal operation: `solve` derives each kind's fraction of the traffic from the arrival rate and the
//! learned speeds (HALB); `draw` selects a kind by it and one of its backends at random. The rest is for
//! faults.

mod admission;
mod completion;
mod dispatch;
mod halb;
mod outcomes;
mod traffic;

pub use halb::halb_fractions;

use crate::interface::*;
use crate::records::{AttemptRecord, BackendRecord, Subscription};
use crate::state::Balancer;

/// Ticks between two checks of a queued request.
const QUEUE_TICKS: f64 = 4.0;
/// How long a client's retry is queued in a retry storm, s: it comes again, and the queue would grow.
const STORM_QUEUE_S: f64 = 0.03;
/// Value, relative to a first attempt within quota, below which a request may use half of the capacity only.
const LOW: f64 = 0.5;

impl Balancer {
    /// Handles one event that happened at `now` and appends the resulting actions, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !matches!(event, Event::Request(_) | Event::Timer { .. }) {
            self.blocked = 0.0; // those two free no capacity, and retrying a long queue in vain costs CPU
        }
        match event {
            Event::Members { update, backends } => self.members(now, update, backends),
            Event::Request(arrival) => self.request(now, arrival),
            Event::StreamStarted { request, attempt } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming |= r.sent.get(attempt.0 as usize).is_some_and(|s| s.in_flight);
                }
            }
            Event::AttemptEnded(end) => self.ended(now, end),
            Event::StormLimits(pressure) => self.set_pressure(now, pressure),
            Event::Offer(offer) => self.offer = offer,
            Event::Tier(tier) if tier.is_valid() && tier != self.tier => {
                self.tier = tier;
                self.choose();
            }
            Event::Tier(_) => {}
            Event::Assignments(uses) => {
                let valid = uses.into_iter().filter(BackendAssignment::is_valid);
                self.uses = valid.map(|u| (u.backend, u)).collect();
                self.choose();
            }
            Event::ClientDisconnected { request } => self.close(request, None),
            Event::Timer { token } if token != TimerToken(self.timer.0) => return,
            Event::Timer { .. } => self.timer.1 = None,
        }
        if now - self.solved >= self.period {
            self.solve(now);
        }
        if now >= self.due {
            self.due = Time(u64::MAX);
            self.look_after(now);
        }
        self.pump(now);
        if self.timer.1.is_none_or(|pending| self.due < pending) && self.due < Time(u64::MAX) {
            self.timer = (self.timer.0 + 1, Some(self.due));
            let (token, after) = (TimerToken(self.timer.0), (self.due - now).max(self.cfg.tick));
            self.actions.push(Action::SetTimer { token, after });
        }
        actions.append(&mut self.actions);
    }

    fn members(&mut self, now: Time, update: ListUpdate, list: Vec<Backend>) {
        match (update, self.cfg.discovery) {
            // A lost subscription is renewed with exponential backoff and jitter.
            (ListUpdate::Lost, Discovery::Subscribe(within)) => {
                let wait = (self.subscription.wait_s * 2.0).clamp(0.1, (within.secs() / 8.0).max(0.1));
                let at = now + Micros::from_secs(wait * (0.5 + self.rng.unit()));
                self.subscription = Subscription { retry_at: Some(at), wait_s: wait };
                self.wake_by(at);
                self.log(now, "discovery lost, subscribing again".into());
            }
            (ListUpdate::Changes | ListUpdate::Full, _) => {
                self.subscription = Subscription::default();
                self.backends.values_mut().for_each(|p| p.absent = false);
            }
            _ => {}
        }
        if self.apply_list(update, list) {
            self.backends.retain(|_, p| p.entry.state != BackendState::Departed || p.in_flight > 0);
            self.choose();
            self.solve(now);
        }
    }

    /// What follows from time alone; runs when it is due, at most once a tick.
    fn look_after(&mut self, now: Time) {
        if let (Some(at), Discovery::Subscribe(within)) = (self.subscription.retry_at, self.cfg.discovery) {
            if now >= at {
                // Without an answer until then the request itself was lost.
                self.subscription.retry_at = Some(now + within.times(0.5));
                self.actions.push(Action::SubscribeBackends);
            }
        }
        self.wake_by(self.subscription.retry_at.unwrap_or(self.due));
        self.detect_unresponsive(now);
        let (mut over, mut leaving) = (Vec::new(), Vec::new());
        let by = now + self.offer.hop_duration + self.cfg.tick.times(2.0 * QUEUE_TICKS);
        for (&id, r) in self.requests.iter().filter(|(_, r)| !r.streaming) {
            let usual = self.usual(r.class);
            let late_pays = self.cfg.classes[r.class].late_weight_fraction > 0.0 && !r.sent.is_empty();
            let last_start = if late_pays { r.deadline } else { r.objective_at };
            let failed = |p: &BackendRecord| p.unresponsive || p.ejected.is_some();
            let lost = |s: &AttemptRecord| s.in_flight && self.backends.get(&s.backend.id).is_none_or(failed);
            let lost = matches!(&r.sent[..], [only] if lost(only));
            let is_queued = !r.has_attempt_in_flight();
            let recheck = if is_queued { now + self.cfg.tick.times(QUEUE_TICKS) } else { r.deadline };
            self.due = self.due.min(recheck).min(Time(r.deadline.0.saturating_sub(self.cfg.tick.0)));
            let repeat = !self.pressure.hedging && r.value < LOW && r.sent.is_empty();
            let too_long = repeat && (now - r.arrived_at).secs() >= STORM_QUEUE_S;
            if now + self.cfg.tick >= r.deadline || (is_queued && (now + usual >= last_start || too_long)) {
                // The deadline's own tick would be too late to answer. A queued request that can no longer
                // be served in time is refused while a retry elsewhere is still harmless.
                over.push(id);
            } else if self.offer.capacity(r.class) > 0 && is_queued && by + usual >= r.objective_at {
                leaving.push((r.class, r.value, id)); // later the hop would take too long
            } else if lost && now + usual < r.objective_at && self.classes[r.class].extra >= 1.0 {
                // Age alone is no reason: second attempts of heavy requests would overload every backend.
                if self.cfg.hedging {
                    if self.pressure.hedging && self.may_send(now, r) && !self.queue.contains(&id) {
                        self.queue.push(id);
                    }
                } else if self.cfg.cancel && self.cfg.classes[r.class].effect != Effect::Unsafe {
                    // Without concurrent attempts, the first is cancelled before the next is sent.
                    self.actions.push(Action::Cancel { request: id, attempt: AttemptNo(0) });
                }
            }
        }
        if !leaving.is_empty() {
            let density = self.densities();
            leaving.sort_by(|a, b| (density[b.0] * b.1).total_cmp(&(density[a.0] * a.1)).then(a.2.cmp(&b.2)));
            for (_, _, id) in leaving {
                self.leave(now, id);
            }
        }
        over.into_iter().for_each(|id| self.give_up(now, id, GivenUp::Queued));
    }
}
