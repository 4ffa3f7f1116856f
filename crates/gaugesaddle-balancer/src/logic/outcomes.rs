//! Outcomes of attempts: updates of the estimates, ejection of backends and detection of unresponsive ones.

use crate::interface::*;
use crate::limits::turn;
use crate::records::InFlightAttempt;
use crate::state::Balancer;

/// Error fraction above which a backend is ejected: two errors in quick succession exceed it.
const ERROR_LIMIT: f64 = 0.3;
/// The same after an attempt that was rejected unprocessed: a backend that accepts some stays in use.
const FULL_LIMIT: f64 = 0.7;
/// Weight of the newest outcome in a backend's error fraction (exponential moving average).
const ERROR_STEP: f64 = 0.2;
/// Multiple of the usual latency after which a backend without a later answer is marked unresponsive.
const UNRESPONSIVE_AFTER: f64 = 6.0;
/// Duration of the first ejection in seconds; it doubles with each further ejection, at most twice.
const BASE_EJECTION_S: f64 = 1.0;

impl Balancer {
    pub(super) fn handle_attempt_end(&mut self, now: Time, mut end: AttemptEnd) {
        let id = end.request;
        let Some(flight) = self.attempts.remove(&(id, end.attempt)) else { return };
        let InFlightAttempt { backend, class, late, .. } = flight;
        self.mean_in_flight.update(now, self.in_flight as f64);
        self.in_flight -= 1;
        if end.outcome == Outcome::Cancelled && end.latency > self.cfg.classes[class].latency_objective {
            // The client disconnected after the objective: counts as a time-out of the backend.
            end.outcome = Outcome::TimedOut;
        }
        // A rejected attempt is no sign of general load: the backend drains, hangs or lacks connections.
        let judged = matches!(end.outcome, Outcome::Ok | Outcome::TimedOut);
        if judged && !late {
            self.adjust_admission(end.outcome == Outcome::Ok && end.latency < self.fast_time(backend, class));
        }
        self.update_estimates(now, &flight, &end);
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(s) = r.attempts.get_mut(end.attempt.0 as usize) {
            (s.in_flight, s.never_ran) = (false, end.outcome.never_ran());
        }
        if end.answered || end.outcome == Outcome::Ok {
            let in_time = end.outcome == Outcome::Ok && now <= r.objective_at;
            self.close_request(id, Some(in_time));
        } else if !r.has_attempt_in_flight() && !self.queue.contains(&id) {
            self.queue.push(id); // `dispatch_queued` sends it again or abandons it
        }
    }

    /// Updates the estimates of the backend, its kind and the class from an outcome.
    fn update_estimates(&mut self, now: Time, flight: &InFlightAttempt, end: &AttemptEnd) {
        let InFlightAttempt { backend: id, class, sent_at: sent, .. } = *flight;
        self.record_load(now, id);
        let took = end.latency.secs().max(1e-6);
        let usual = self.classes[class].latency.get().unwrap_or(took);
        let Some(p) = self.backends.get_mut(&id) else { return };
        p.in_flight = p.in_flight.saturating_sub(1);
        let kind = p.entry.kind;
        if flight.first {
            self.kinds.entry(kind).or_default().unloaded.first_ended(class);
        }
        match end.outcome {
            Outcome::Ok => {
                p.answered = now;
                p.errors *= 1.0 - ERROR_STEP;
                p.ejections = 0;
                // Only served requests are samples of the latency: errors may be fast.
                let k = self.kinds.entry(kind).or_default();
                let expected = usual * k.latency.get().unwrap_or(took) / self.overall.get().unwrap_or(took);
                p.relative.add(now, (took / expected.max(1e-6)).ln());
                k.unloaded.served(class, took, flight.alone);
                let unloaded = k.unloaded.get(class);
                p.limiter.served(took, usual, unloaded.unwrap_or(took));
                if self.cfg.limits.learned {
                    let (_, turn, settled) = turn(sent, id, self.turn_length);
                    let relative = took / (usual * p.limiter.relative()).max(1e-9);
                    k.search.record_latency(settled.then_some(turn), relative);
                }
                self.record_served(kind, class, end.latency);
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
            // A time-out does not count if the backend answered since: the request may just be heavy.
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

    fn eject(&mut self, now: Time, id: BackendId, cause: Outcome) {
        let duration_s = BASE_EJECTION_S * (0.75 + 0.5 * self.rng.unit());
        let Some(p) = self.backends.get_mut(&id) else { return };
        if p.ejected.is_none_or(|until| now >= until) {
            p.ejected = Some(now + Micros::from_secs(duration_s * f64::from(p.ejections.min(2)).exp2()));
            (p.ejections, p.readiness) = (p.ejections + 1, 0.0);
            p.absent = cause == Outcome::ConnectFailed && p.ejections > 1;
            self.schedule_by(now + self.cfg.tick);
            self.log(now, format!("backend {} ejected: {cause:?}", id.0));
        }
    }

    /// Marks backends as unresponsive that have not answered for much longer than usual.
    pub(super) fn detect_unresponsive(&mut self, now: Time) {
        let before = std::mem::take(&mut self.unresponsive);
        for id in &before {
            self.backends.get_mut(id).into_iter().for_each(|p| p.unresponsive = false);
        }
        let mut attempts = std::mem::take(&mut self.attempts);
        for InFlightAttempt { backend, class, sent_at: sent, late, .. } in attempts.values_mut() {
            // A late attempt counts as soon as it is late: an overloaded backend answers only much later.
            let limit = *sent + self.fast_time(*backend, *class);
            if !*late && now >= limit {
                *late = true;
                self.adjust_admission(false);
            }
            let usual = self.usual_latency(*class);
            let suspect_at = *sent + usual.times(UNRESPONSIVE_AFTER);
            let next = if now < suspect_at { suspect_at } else { now + usual };
            self.schedule_by(if *late { next } else { next.min(limit) });
            let silent = self.backends.get_mut(backend).filter(|p| now >= suspect_at && p.answered <= *sent);
            if let Some(p) = silent {
                p.unresponsive = true;
                self.unresponsive.push(*backend);
            }
        }
        self.attempts = attempts;
        if self.attempts.is_empty() && !before.is_empty() {
            self.blocked_below = 0.0; // no other event reports that the backend has capacity again
        }
    }
}
