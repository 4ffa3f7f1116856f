//! Outcomes of attempts: what they teach, and when a backend is ejected or counts as unresponsive.

use crate::interface::*;
use crate::limits::turn;
use crate::records::Flight;
use crate::state::Balancer;

/// Error share from which a backend is ejected: two errors close together reach it.
const ERROR_LIMIT: f64 = 0.3;
/// The same where the newest was turned away unseen: one that takes some of them is used for those.
const FULL_LIMIT: f64 = 0.7;
/// Weight of the newest outcome in a backend's error share.
const ERROR_STEP: f64 = 0.2;
/// An unanswered attempt this many times older than usual, with no later answer, marks silence.
const SILENT_AFTER: f64 = 6.0;
/// First term of an ejection, s; it doubles with each failed return, twice at most.
const EJECT_TERM: f64 = 1.0;

impl Balancer {
    pub(super) fn ended(&mut self, now: Time, mut end: AttemptEnd) {
        let id = end.request;
        let Some(flight) = self.attempts.remove(&(id, end.attempt)) else { return };
        let Flight { backend, class, late, .. } = flight;
        self.held_mean.at(now, self.out as f64);
        self.out -= 1;
        if end.outcome == Outcome::Cancelled && end.latency > self.cfg.classes[class].aim {
            // Called off when its client left after all that time: as much against the backend as a time-out.
            end.outcome = Outcome::TimedOut;
        }
        // Turned away unseen is that backend's own matter: it drains, hangs or has no connection left.
        let judged = matches!(end.outcome, Outcome::Ok | Outcome::TimedOut);
        if judged && !late {
            self.gauge(end.outcome == Outcome::Ok && end.latency < self.brisk(backend, class));
        }
        self.learn(now, &flight, &end);
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(s) = r.sent.get_mut(end.attempt.0 as usize) {
            (s.out, s.never_ran) = (false, end.outcome.never_ran());
        }
        if end.settled || end.outcome == Outcome::Ok {
            let in_time = end.outcome == Outcome::Ok && now <= r.aim;
            self.close(id, Some(in_time));
        } else if !r.out() && !self.held.contains(&id) {
            self.held.push(id); // `pump` sends it again or gives it up
        }
    }

    /// What an outcome says of the backend, its kind and its class.
    fn learn(&mut self, now: Time, flight: &Flight, end: &AttemptEnd) {
        let Flight { backend: id, class, sent, .. } = *flight;
        self.hold_changes(now, id);
        let took = end.latency.secs().max(1e-6);
        let usual = self.classes[class].latency.get().unwrap_or(took);
        let Some(p) = self.peers.get_mut(&id) else { return };
        p.out = p.out.saturating_sub(1);
        let kind = p.entry.kind;
        if flight.first {
            self.kinds.entry(kind).or_default().unloaded.first_ended(class);
        }
        match end.outcome {
            Outcome::Ok => {
                p.answered = now;
                p.errors *= 1.0 - ERROR_STEP;
                p.strikes = 0;
                // Errors teach no limit: fast is not good.
                let k = self.kinds.entry(kind).or_default();
                let expected = usual * k.latency.get().unwrap_or(took) / self.overall.get().unwrap_or(took);
                p.beside.add(now, (took / expected.max(1e-6)).ln());
                k.unloaded.served(class, took, flight.alone);
                let unloaded = k.unloaded.get(class);
                p.limiter.served(took, usual, unloaded.unwrap_or(took));
                if self.cfg.limits.learned {
                    let (_, turn, settled) = turn(sent, id, self.turn);
                    let beside = took / (usual * p.limiter.beside()).max(1e-9);
                    k.search.answered(settled.then_some(turn), beside);
                }
                self.served(kind, class, end.latency);
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
            // A heavy request alone is no illness: other answers came back meanwhile.
            Outcome::TimedOut if p.answered >= sent => {}
            Outcome::Error | Outcome::Full | Outcome::Reset => {
                p.answered = now;
                p.errors += (1.0 - p.errors) * ERROR_STEP;
                let limit = if end.outcome == Outcome::Full { FULL_LIMIT } else { ERROR_LIMIT };
                if p.errors > limit {
                    self.eject(now, id, end.outcome);
                }
            }
            _ => self.eject(now, id, end.outcome),
        }
    }

    fn eject(&mut self, now: Time, id: BackendId, why: Outcome) {
        let term = EJECT_TERM * (0.75 + 0.5 * self.dice.unit());
        let Some(p) = self.peers.get_mut(&id) else { return };
        if p.ejected.is_none_or(|until| now >= until) {
            p.ejected = Some(now + Micros::from_secs(term * f64::from(p.strikes.min(2)).exp2()));
            (p.strikes, p.ready) = (p.strikes + 1, 0.0);
            p.absent = why == Outcome::ConnectFailed && p.strikes > 1;
            self.wake_by(now + self.cfg.tick);
            self.log(now, format!("backend {} ejected: {why:?}", id.0));
        }
    }

    /// Marks the backends that owe an answer for suspiciously long.
    pub(super) fn suspect(&mut self, now: Time) {
        let before = std::mem::take(&mut self.silent);
        for id in &before {
            self.peers.get_mut(id).into_iter().for_each(|p| p.silent = false);
        }
        let mut attempts = std::mem::take(&mut self.attempts);
        for Flight { backend, class, sent, late, .. } in attempts.values_mut() {
            // Late is known once the time is up: an overloaded backend answers only much later.
            let limit = *sent + self.brisk(*backend, *class);
            if !*late && now >= limit {
                *late = true;
                self.gauge(false);
            }
            let usual = self.usual(*class);
            let from = *sent + usual.times(SILENT_AFTER);
            let next = if now < from { from } else { now + usual };
            self.wake_by(if *late { next } else { next.min(limit) });
            let peer = self.peers.get_mut(backend).filter(|p| now >= from && p.answered <= *sent);
            if let Some(p) = peer {
                p.silent = true;
                self.silent.push(*backend);
            }
        }
        self.attempts = attempts;
        if self.attempts.is_empty() && !before.is_empty() {
            self.blocked = 0.0; // the last answer came to a silence: no other event will tell of its room
        }
    }
}
