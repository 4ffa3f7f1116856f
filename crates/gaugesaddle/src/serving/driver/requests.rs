//! Requests from their arrival to their answer.

use super::open_request::{OpenRequest, Source};
use super::Driver;
use crate::operations::registry::RequestEnd;
use crate::serving::exchange::{Answer, AttemptResult, NewRequest, Rejection};
use gaugesaddle_balancer::{
    Arrival, AttemptEnd, AttemptNo, ClassId, Event, Micros, Outcome, RequestId, Time,
};
use std::collections::HashMap;

/// Ticks after a deadline in which the balancer may still answer: its timers are at most a tick late.
const GRACE_TICKS: u64 = 2;

impl Driver {
    pub(super) fn add_request(&mut self, new: NewRequest) {
        self.registry.record_arrival(new.class);
        let now = self.clock.now();
        let mut arrival = Arrival {
            request: new.id,
            class: new.class,
            tenant: new.tenant,
            remaining: new.deadline - now,
            work_hint: new.work_hint,
            repeat: new.repeat,
            retried_early: false,
            from_other_region: new.via.is_some(),
        };
        for extension in &mut self.extensions {
            extension.on_arrival(now, &new, &mut arrival);
        }
        let source = Source { hash: new.source, retried_early: arrival.retried_early };
        if self.requests.len() >= self.open_cap {
            self.record_end(new.class, RequestEnd::RejectedOpenCap);
            let rejection = self.rejection(now, source, true);
            let _ = new.reply.send(Answer::Rejected(rejection));
            return;
        }
        self.events.push(Event::Request(arrival));
        self.deadlines.insert((new.deadline, new.id));
        let objective = self.config.classes.get(new.class.0).map_or(Micros(0), |class| {
            let stretch = new.work_hint.unwrap_or_default().times(class.objective_stretch);
            Micros(class.latency_objective.0 + stretch.0)
        });
        let request = OpenRequest {
            class: new.class,
            objective_at: new.received_at + objective,
            deadline: new.deadline,
            patience_after_body: new.patience_after_body,
            source,
            call: new.call,
            via: new.via,
            is_forwarded: false,
            reply: Some(new.reply),
            attempts: HashMap::new(),
            attempt_count: 0,
            may_have_run: None,
        };
        self.requests.insert(new.id, request);
    }

    /// Handles the arrival of a request's last byte: from now on its client's patience counts.
    pub(super) fn complete_body(&mut self, request: RequestId) {
        let now = self.clock.now();
        let Some(r) = self.requests.get_mut(&request) else { return };
        let patience = r.patience_after_body.take();
        let Some(patience) = patience.filter(|patience| now + *patience < r.deadline) else { return };
        self.deadlines.remove(&(r.deadline, request));
        r.deadline = now + patience;
        self.deadlines.insert((r.deadline, request));
    }

    /// Handles the disconnect of a client.
    pub(super) fn disconnect(&mut self, request: RequestId) {
        let now = self.clock.now();
        let Some(r) = self.requests.get_mut(&request).filter(|r| r.reply.is_some()) else { return };
        r.take_reply();
        let class = r.class;
        if r.is_forwarded {
            // Its task is aborted, which cancels the request at the other region.
            r.attempts.drain().for_each(|(_, attempt)| _ = attempt.finish(Outcome::Cancelled, now));
        } else {
            self.events.push(Event::ClientDisconnected { request });
        }
        self.record_end(class, RequestEnd::ClientDisconnected);
        self.mark_ended(request);
    }

    pub(super) fn finish_attempt(&mut self, request: RequestId, attempt: AttemptNo, result: AttemptResult) {
        let now = self.clock.now();
        let AttemptResult { outcome, answer } = result;
        let Some(r) = self.requests.get_mut(&request) else { return };
        // An attempt has one outcome: a result after its cancellation is ignored.
        let Some(finished) = r.attempts.remove(&attempt) else { return };
        let sent_at = r.finish_attempt(finished, outcome, now);
        let is_forwarded = r.is_forwarded;
        if !is_forwarded {
            self.extensions.iter_mut().for_each(|extension| extension.on_attempt_end(outcome));
        }
        if let Some(answer) = answer {
            if let Some(reply) = r.take_reply() {
                let end = if now <= r.objective_at { RequestEnd::InTime } else { RequestEnd::Late };
                let class = r.class;
                let _ = reply.send(Answer::Served(answer));
                self.record_end(class, end);
            }
        }
        if is_forwarded {
            return self.answer_forwarded(now, request, outcome);
        }
        let answered = self.requests.get(&request).is_none_or(|r| r.reply.is_none());
        let end = AttemptEnd { request, attempt, outcome, latency: now - sent_at, answered };
        self.events.push(Event::AttemptEnded(end));
        self.mark_ended(request);
    }

    /// Marks a request for removal if it is answered and has no attempt in flight.
    pub(super) fn mark_ended(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(OpenRequest::is_ended) {
            self.ended.push(request);
        }
    }

    /// Removes ended requests once the balancer has handled their ends. Until then the balancer may request a further
    /// attempt, which must end under its own number: under another one the balancer would count its slot as used for
    /// ever.
    pub(super) fn remove_ended(&mut self) {
        for request in self.ended.drain(..) {
            if self.requests.get(&request).is_some_and(OpenRequest::is_ended) {
                if let Some(r) = self.requests.remove(&request) {
                    self.deadlines.remove(&(r.deadline, request));
                }
            }
        }
    }

    /// Gives a request its final answer, if it has had none.
    pub(super) fn answer(&mut self, request: RequestId, answer: Answer, end: RequestEnd) {
        if let Some(r) = self.requests.get_mut(&request) {
            if let Some(reply) = r.take_reply() {
                let class = r.class;
                let _ = reply.send(answer);
                self.record_end(class, end);
            }
        }
        self.mark_ended(request);
    }

    /// Rejects a request, if it has had no answer.
    pub(super) fn reject(&mut self, now: Time, request: RequestId, end: RequestEnd) {
        let source = self.requests.get(&request).filter(|r| r.reply.is_some()).map(|r| r.source);
        if let Some(source) = source {
            let rejection = self.rejection(now, source, false);
            self.answer(request, Answer::Rejected(rejection), end);
        }
    }

    fn rejection(&mut self, now: Time, source: Source, over_open_cap: bool) -> Rejection {
        // Rounded up to whole seconds: not every client parses decimals.
        let retry_after_s = self.balancer.retry_after().0.div_ceil(1_000_000);
        let mut rejection = Rejection { retry_after_s, over_open_cap, by_client: false };
        for extension in &mut self.extensions {
            extension.adjust_rejection(now, source.hash, source.retried_early, &mut rejection);
        }
        rejection
    }

    /// Counts how a request ended.
    fn record_end(&mut self, class: ClassId, end: RequestEnd) {
        self.registry.record_end(class, end);
        for extension in &mut self.extensions {
            extension.on_request_end(class, end);
        }
    }

    /// Ends attempts at their request's deadline as timed out. The balancer still has to answer the request.
    pub(super) fn expire(&mut self, now: Time) {
        while let Some((deadline, request)) = self.deadlines.first().filter(|d| d.0 <= now).copied() {
            self.deadlines.pop_first();
            let Some(r) = self.requests.get_mut(&request) else { continue };
            let outcome = Outcome::TimedOut;
            if r.is_forwarded {
                r.attempts.drain().for_each(|(_, attempt)| _ = attempt.finish(outcome, now));
                self.answer_forwarded(now, request, outcome);
                continue;
            }
            let answered = r.reply.is_none();
            for (attempt, expired) in r.attempts.drain() {
                let latency = now - expired.finish(outcome, now);
                let end = AttemptEnd { request, attempt, outcome, latency, answered };
                self.events.push(Event::AttemptEnded(end));
            }
            if !answered {
                let grace = Micros(GRACE_TICKS * self.config.tick.0);
                self.overdue.push_back((deadline + grace, request));
            }
            self.mark_ended(request);
        }
    }

    /// A safety net: fails requests that the balancer has not answered in its tick after the deadline. It never rejects
    /// them, since only the balancer tracks whether a request may have been executed.
    pub(super) fn close_overdue(&mut self, now: Time) {
        while let Some((_, request)) = self.overdue.front().filter(|(until, _)| *until <= now).copied() {
            self.overdue.pop_front();
            if self.requests.get(&request).is_some_and(|r| r.reply.is_some()) {
                tracing::error!("request {} had no answer at its deadline", request.0);
                self.events.push(Event::ClientDisconnected { request });
                self.answer(request, Answer::Failed, RequestEnd::FailedUnanswered);
            }
        }
    }
}
