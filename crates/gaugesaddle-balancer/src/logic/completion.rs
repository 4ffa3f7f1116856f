//! Completion of a request: by an answer, by a refusal or by forwarding to another region.

use crate::estimates::KIND_SAMPLES;
use crate::interface::*;
use crate::state::Balancer;

impl Balancer {
    /// Forwards a request to another region if it can be served in time there and either is idempotent or has
    /// not run here: backends there don't have its idempotency key.
    pub(super) fn try_forward(&mut self, now: Time, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let free = self.cfg.classes[r.class].effect == Effect::Free;
        let safe_to_repeat = free || r.attempts.iter().all(|s| s.never_ran);
        let in_time = now + self.offer.hop_duration + self.usual_latency(r.class) < r.objective_at;
        let Some(capacity) = self.offer.capacity.get_mut(r.class).filter(|n| **n > 0) else { return false };
        if r.streaming || !safe_to_repeat || !in_time {
            return false;
        }
        *capacity -= 1;
        self.close_request(id, None); // cancels attempts of an idempotent request in flight
        self.actions.push(Action::Forward { request: id });
        true
    }

    /// Refuses or fails a request that will not be served here, unless it can be forwarded.
    pub(super) fn abandon(&mut self, now: Time, id: RequestId, reason: AbandonReason) {
        if self.try_forward(now, id) {
            return;
        }
        let Some(r) = self.requests.get(&id) else { return };
        self.abandoned[reason as usize] += 1;
        let free = matches!(self.cfg.classes[r.class].effect, Effect::Free | Effect::Keyed(KeyScope::All, _));
        let harmless = free || r.attempts.iter().all(|s| s.never_ran);
        let (refused, failed) = (Action::Refuse { request: id }, Action::Fail { request: id });
        self.actions.push(if harmless { refused } else { failed });
        self.close_request(id, Some(false));
    }

    pub(super) fn close_request(&mut self, id: RequestId, in_time: Option<bool>) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.queue.retain(|h| *h != id);
        if let Some(good) = in_time {
            for (i, s) in self.classes.iter_mut().enumerate() {
                s.served_in_time += (f64::from(good && i == r.class) - s.served_in_time) / KIND_SAMPLES;
            }
        }
        for (no, _) in r.attempts.iter().enumerate().filter(|(_, s)| s.in_flight && self.cfg.cancel) {
            self.actions.push(Action::Cancel { request: id, attempt: AttemptNo(no as u32) });
        }
    }
}
