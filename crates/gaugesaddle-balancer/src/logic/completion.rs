//! Completion: the end of a request, by an answer, a refusal or another region.

use crate::estimates::KIND_SAMPLES;
use crate::interface::*;
use crate::state::Balancer;

impl Balancer {
    /// Hands a request to another region if it can be served in time there and cannot have run here: backends
    /// there do not know its key, so a request that may have run here must not run there.
    pub(super) fn leave(&mut self, now: Time, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let free = self.cfg.classes[r.class].effect == Effect::Free;
        let unseen = free || r.sent.iter().all(|s| s.never_ran);
        let in_time = now + self.offer.hop_duration + self.usual(r.class) < r.objective_at;
        let Some(capacity) = self.offer.capacity.get_mut(r.class).filter(|n| **n > 0) else { return false };
        if r.streaming || !unseen || !in_time {
            return false;
        }
        *capacity -= 1;
        self.close(id, None); // attempts of a free request in flight are cancelled first
        self.actions.push(Action::Forward { request: id });
        true
    }

    /// Final answer for a request that will not be served here, unless another region takes it.
    pub(super) fn give_up(&mut self, now: Time, id: RequestId, cause: GivenUp) {
        if self.leave(now, id) {
            return;
        }
        let Some(r) = self.requests.get(&id) else { return };
        self.given_up[cause as usize] += 1;
        let free = matches!(self.cfg.classes[r.class].effect, Effect::Free | Effect::Keyed(KeyScope::All, _));
        let harmless = free || r.sent.iter().all(|s| s.never_ran);
        let (refused, failed) = (Action::Refuse { request: id }, Action::Fail { request: id });
        self.actions.push(if harmless { refused } else { failed });
        self.close(id, Some(false));
    }

    pub(super) fn close(&mut self, id: RequestId, in_time: Option<bool>) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.queue.retain(|h| *h != id);
        if let Some(good) = in_time {
            for (i, s) in self.classes.iter_mut().enumerate() {
                s.in_time += (f64::from(good && i == r.class) - s.in_time) / KIND_SAMPLES;
            }
        }
        for (no, _) in r.sent.iter().enumerate().filter(|(_, s)| s.in_flight && self.cfg.cancel) {
            self.actions.push(Action::Cancel { request: id, attempt: AttemptNo(no as u32) });
        }
    }
}
