//! Every decision of the proxy. Its whole interface (events, actions, settings) is `src/interface.rs`;
//! what it remembers of backends, kinds, classes and requests is laid out in `src/records.rs`.
//!
//! Ordinary path: `solve` turns the arrival rate and the learned speeds into a share per kind (HALB),
//! `draw` picks a kind by share and a backend inside it at random. All else is a departure for trouble.

mod admission;
mod completion;
mod dispatch;
mod halb;
mod outcomes;
mod traffic;

pub use halb::halb_shares;

use crate::interface::*;
use crate::records::Sent;
use crate::state::Balancer;

/// Held requests are looked at every so many ticks.
const HELD_TICKS: f64 = 4.0;
/// In a storm a repeat that finds no room is held so long, s, then refused: it comes again, and a line grows.
const STORM_HOLD: f64 = 0.03;
/// A request worth less than this part of a first try within quota finds half of the room: the rest is kept.
const LOW: f64 = 0.5;

impl Balancer {
    /// Takes one event that happened at `now` and adds the actions it calls for.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !matches!(event, Event::Request(_) | Event::Timer { .. }) {
            self.blocked = 0.0; // those two make no room, and trying a long line in vain costs too much CPU
        }
        match event {
            Event::Members { update, backends } => self.members(now, update, backends),
            Event::Request(arrival) => self.request(now, arrival),
            Event::StreamStarted { request, attempt } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming |= r.sent.get(attempt.0 as usize).is_some_and(|s| s.out);
                }
            }
            Event::AttemptEnded(end) => self.ended(now, end),
            Event::Pressure(pressure) => self.press(now, pressure),
            Event::Offer(offer) => self.offer = offer,
            Event::Tier(tier) if tier.is_sound() && tier != self.tier => {
                self.tier = tier;
                self.choose();
            }
            Event::Tier(_) => {}
            Event::Uses(uses) => {
                let sound = uses.into_iter().filter(Use::is_sound);
                self.uses = sound.map(|u| (u.backend, u)).collect();
                self.choose();
            }
            Event::ClientGone { request } => self.close(request, None),
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
            // A lost subscription is asked for again, later each time and not in step with others.
            (ListUpdate::Lost, Discovery::Subscribe(within)) => {
                let wait = (self.ask.1 * 2.0).clamp(0.1, (within.secs() / 8.0).max(0.1));
                let at = now + Micros::from_secs(wait * (0.5 + self.dice.unit()));
                self.ask = (Some(at), wait);
                self.wake_by(at);
                self.log(now, "discovery lost, asking again".into());
            }
            (ListUpdate::Changes | ListUpdate::Full, _) => {
                self.ask = (None, 0.0);
                self.peers.values_mut().for_each(|p| p.absent = false);
            }
            _ => {}
        }
        if self.take_list(update, list) {
            self.peers.retain(|_, p| p.entry.state != BackendState::Gone || p.out > 0);
            self.choose();
            self.solve(now);
        }
    }

    /// Every tick: what time alone brings about.
    fn look_after(&mut self, now: Time) {
        if let (Some(at), Discovery::Subscribe(within)) = (self.ask.0, self.cfg.discovery) {
            if now >= at {
                self.ask.0 = Some(now + within.times(0.5)); // unanswered so long, the call itself was lost
                self.actions.push(Action::Follow);
            }
        }
        self.wake_by(self.ask.0.unwrap_or(self.due));
        self.suspect(now);
        let (mut over, mut leaving) = (Vec::new(), Vec::new());
        let by = now + self.offer.trip + self.cfg.tick.times(2.0 * HELD_TICKS);
        for (&id, r) in self.requests.iter().filter(|(_, r)| !r.streaming) {
            let usual = self.usual(r.class);
            let late_pays = self.cfg.classes[r.class].late_worth > 0.0 && !r.sent.is_empty();
            let last_start = if late_pays { r.deadline } else { r.aim };
            let lost =
                |s: &Sent| s.out && self.peers.get(&s.to.id).is_none_or(|p| p.silent || p.ejected.is_some());
            let lost = matches!(&r.sent[..], [only] if lost(only));
            let held = if r.out() { r.deadline } else { now + self.cfg.tick.times(HELD_TICKS) };
            self.due = self.due.min(held).min(Time(r.deadline.0.saturating_sub(self.cfg.tick.0)));
            let repeat = !self.pressure.copies && r.value < LOW && r.sent.is_empty();
            let too_long = repeat && (now - r.came).secs() >= STORM_HOLD;
            if now + self.cfg.tick >= r.deadline || (!r.out() && (now + usual >= last_start || too_long)) {
                // The deadline's own tick would be too late to answer; a request that was held so long
                // that it cannot make it is refused while that is still harmless.
                over.push(id);
            } else if self.offer.room(r.class) > 0 && !r.out() && by + usual >= r.aim {
                leaving.push((r.class, r.value, id)); // later the way would be too long
            } else if lost && now + usual < r.aim && self.classes[r.class].extra >= 1.0 {
                // Age alone is no reason: copies of merely heavy requests crowd every backend.
                if self.cfg.second_copies {
                    if self.pressure.copies && self.may_send(now, r) && !self.held.contains(&id) {
                        self.held.push(id);
                    }
                } else if self.cfg.cancel && self.cfg.classes[r.class].effect != Effect::Unsafe {
                    // Where no copy may run beside it, the first is called back to make way for the next.
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
        over.into_iter().for_each(|id| self.give_up(now, id, GivenUp::Held));
    }
}
