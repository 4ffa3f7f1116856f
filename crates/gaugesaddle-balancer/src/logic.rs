//! The decisions of a proxy. Their interface (events, actions, settings) is `src/interface.rs`; records of
//! backends, kinds, classes and requests are in `src/records.rs`.
//!
//! In normal operation `solve` derives each kind's fraction of the traffic from the arrival rate and the
//! learned speeds (HALB), and `pick_backend` draws a kind by it and one of its backends. All other functions
//! handle overload and failures.

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
/// Maximum queue time of a client's retry in a retry storm: it is retried anyway, and the queue would grow.
const STORM_QUEUE_S: f64 = 0.03;
/// Value, relative to a first attempt within quota, below which a request may use only half of the capacity.
const LOW_VALUE: f64 = 0.5;

impl Balancer {
    /// Handles one event that happened at `now` and appends the resulting actions, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !matches!(event, Event::Request(_) | Event::Timer { .. }) {
            self.blocked_below = 0.0; // those two free no capacity; retrying a long queue in vain costs CPU
        }
        match event {
            Event::Members { update, backends } => self.update_members(now, update, backends),
            Event::Request(arrival) => self.handle_request(now, arrival),
            Event::StreamStarted { request, attempt } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming |= r.attempts.get(attempt.0 as usize).is_some_and(|s| s.in_flight);
                }
            }
            Event::AttemptEnded(end) => self.handle_attempt_end(now, end),
            Event::StormLimits(limits) => self.set_storm_limits(now, limits),
            Event::Offer(offer) => self.offer = offer,
            Event::Tier(tier) if tier.is_valid() && tier != self.tier => {
                self.tier = tier;
                self.update_used_backends();
            }
            Event::Tier(_) => {}
            Event::Assignments(assignments) => {
                let valid = assignments.into_iter().filter(BackendAssignment::is_valid);
                self.assignments = valid.map(|u| (u.backend, u)).collect();
                self.update_used_backends();
            }
            Event::ClientDisconnected { request } => self.close_request(request, None),
            Event::Timer { token } if token != TimerToken(self.timer.0) => return,
            Event::Timer { .. } => self.timer.1 = None,
        }
        if now - self.solved_at >= self.solve_interval {
            self.solve(now);
        }
        if now >= self.due_at {
            self.due_at = Time(u64::MAX);
            self.run_timed_checks(now);
        }
        self.dispatch_queued(now);
        if self.timer.1.is_none_or(|pending| self.due_at < pending) && self.due_at < Time(u64::MAX) {
            self.timer = (self.timer.0 + 1, Some(self.due_at));
            let (token, after) = (TimerToken(self.timer.0), (self.due_at - now).max(self.cfg.tick));
            self.actions.push(Action::SetTimer { token, after });
        }
        actions.append(&mut self.actions);
    }

    fn update_members(&mut self, now: Time, update: ListUpdate, list: Vec<Backend>) {
        match (update, self.cfg.discovery) {
            // A lost subscription is renewed with exponential backoff and jitter.
            (ListUpdate::Lost, Discovery::Subscribe(within)) => {
                let wait = (self.subscription.wait_s * 2.0).clamp(0.1, (within.secs() / 8.0).max(0.1));
                let at = now + Micros::from_secs(wait * (0.5 + self.rng.unit()));
                self.subscription = Subscription { retry_at: Some(at), wait_s: wait };
                self.schedule_by(at);
                self.log(now, "lost the discovery subscription; subscribing again after a delay".into());
            }
            (ListUpdate::Changes | ListUpdate::Full, _) => {
                self.subscription = Subscription::default();
                self.backends.values_mut().for_each(|p| p.absent = false);
            }
            _ => {}
        }
        if self.apply_list(update, list) {
            self.backends.retain(|_, p| p.entry.state != BackendState::Departed || p.in_flight > 0);
            self.update_used_backends();
            self.solve(now);
        }
    }

    /// Runs the timed checks, at most once per tick: subscription, unresponsive backends, requests.
    fn run_timed_checks(&mut self, now: Time) {
        if let (Some(at), Discovery::Subscribe(within)) = (self.subscription.retry_at, self.cfg.discovery) {
            if now >= at {
                // If no answer arrives until then, the request to subscribe was lost.
                self.subscription.retry_at = Some(now + within.times(0.5));
                self.actions.push(Action::SubscribeBackends);
            }
        }
        self.schedule_by(self.subscription.retry_at.unwrap_or(self.due_at));
        self.detect_unresponsive(now);
        let (mut expired, mut forward) = (Vec::new(), Vec::new());
        let forward_by = now + self.offer.hop_duration + self.cfg.tick.times(2.0 * QUEUE_TICKS);
        for (&id, r) in self.requests.iter().filter(|(_, r)| !r.streaming) {
            let usual = self.usual_latency(r.class);
            let late_pays = self.cfg.classes[r.class].late_weight_fraction > 0.0 && !r.attempts.is_empty();
            let last_start = if late_pays { r.deadline } else { r.objective_at };
            let failed = |p: &BackendRecord| p.unresponsive || p.ejected.is_some();
            let lost = |s: &AttemptRecord| s.in_flight && self.backends.get(&s.backend.id).is_none_or(failed);
            let lost = matches!(&r.attempts[..], [only] if lost(only));
            let is_queued = !r.has_attempt_in_flight();
            let recheck = if is_queued { now + self.cfg.tick.times(QUEUE_TICKS) } else { r.deadline };
            self.due_at = self.due_at.min(recheck).min(Time(r.deadline.0.saturating_sub(self.cfg.tick.0)));
            let is_repeat = !self.storm_limits.hedging && r.value < LOW_VALUE && r.attempts.is_empty();
            let overdue = is_repeat && (now - r.arrived_at).secs() >= STORM_QUEUE_S;
            if now + self.cfg.tick >= r.deadline || (is_queued && (now + usual >= last_start || overdue)) {
                // An answer in the tick of the deadline would be late. A queued request that can no longer be
                // served in time is refused while a retry elsewhere is still harmless.
                expired.push(id);
            } else if self.offer.capacity(r.class) > 0 && is_queued && forward_by + usual >= r.objective_at {
                forward.push((r.class, r.value, id)); // later the time would not suffice for the hop
            } else if lost && now + usual < r.objective_at && self.classes[r.class].retry_budget >= 1.0 {
                // Age alone is no reason to hedge: second attempts of heavy requests would overload all.
                if self.cfg.hedging {
                    if self.storm_limits.hedging && self.may_send(now, r) && !self.queue.contains(&id) {
                        self.queue.push(id);
                    }
                } else if self.cfg.cancel && self.cfg.classes[r.class].effect != Effect::Unsafe {
                    // Without hedging, the first attempt is cancelled before the next is sent.
                    self.actions.push(Action::Cancel { request: id, attempt: AttemptNo(0) });
                }
            }
        }
        if !forward.is_empty() {
            let density = self.densities();
            forward.sort_by(|a, b| (density[b.0] * b.1).total_cmp(&(density[a.0] * a.1)).then(a.2.cmp(&b.2)));
            for (_, _, id) in forward {
                self.try_forward(now, id);
            }
        }
        expired.into_iter().for_each(|id| self.abandon(now, id, AbandonReason::QueueTimeout));
    }
}
