//! Sends attempts: to backends, and to other regions.

use super::open_request::{Attempt, AttemptReporter};
use super::Driver;
use crate::operations::registry::RequestEnd;
use crate::serving::exchange::Answer;
use crate::serving::extension::ForwardedRequest;
use crate::serving::request_rules::CORRELATION_HEADER;
use gaugesaddle_balancer::{
    AttemptEnd, BackendId, ClassId, Config, Effect, Event, Micros, Outcome, RequestId, Time,
};
use gaugesaddle_federation::{client_answer, ClientAnswer};

/// The effect of a further attempt of a class, and the strictest one for an unknown class.
fn class_effect(config: &Config, class: ClassId) -> Effect {
    config.classes.get(class.0).map_or(Effect::Unsafe, |class| class.effect)
}

impl Driver {
    /// Sends an attempt to a backend.
    pub(super) fn dispatch(&mut self, now: Time, request: RequestId, backend: BackendId) {
        let Some(r) = self.requests.get_mut(&request) else { return };
        let attempt = r.next_attempt();
        let is_due = r.reply.is_some() && r.deadline > now;
        let Some(upstream) = self.backends.get(&backend).filter(|_| is_due).cloned() else {
            // The request was answered or has timed out meanwhile, or the backend has departed.
            let (outcome, latency, answered) = (Outcome::NeverSent, Micros(0), r.reply.is_none());
            let end = AttemptEnd { request, attempt, outcome, latency, answered };
            self.events.push(Event::AttemptEnded(end));
            return;
        };
        if self.upstreams.is_full() && self.upstreams.close_idlest() {
            tracing::debug!("all upstream sockets were in use: closed the longest idle connection");
        }
        let effect = class_effect(&self.config, r.class);
        let (call, window) = (r.call.clone(), r.send_window(effect, self.config.tick));
        tracing::debug!(
            id = call.head.headers().get(CORRELATION_HEADER).and_then(|v| v.to_str().ok()),
            server = %upstream.target().name,
            attempt = attempt.0,
            "sent"
        );
        let mut reporter = AttemptReporter::new(self.inputs.clone(), request, attempt);
        let task = tokio::task::spawn_local(async move {
            reporter.report(upstream.attempt(call, window).await);
        });
        self.registry.upstream_sockets.set(self.upstreams.sockets());
        self.extensions.iter_mut().for_each(|extension| extension.on_attempt_start(attempt.0 == 0));
        let row = self.registry.backend(backend);
        if let Some(row) = &row {
            row.record_sent();
        }
        r.attempts.insert(attempt, Attempt { sent_at: now, task: task.abort_handle(), row });
    }

    /// Forwards a request to the first extension that accepts it; if none does, it is rejected at once: it was not executed.
    pub(super) fn forward(&mut self, now: Time, request: RequestId) {
        let Some(r) = self.requests.get_mut(&request).filter(|r| r.reply.is_some()) else { return };
        r.is_forwarded = true;
        let accepted = self.extensions.iter_mut().find_map(|extension| {
            let (class, deadline, via) = (r.class, r.deadline, r.via.as_ref());
            extension.forward(now, ForwardedRequest { class, call: &r.call, deadline, via })
        });
        let Some(result) = accepted else {
            return self.reject(now, request, RequestEnd::RejectedByRegion);
        };
        let attempt = r.next_attempt();
        let mut reporter = AttemptReporter::new(self.inputs.clone(), request, attempt);
        let task = tokio::task::spawn_local(async move { reporter.report(result.await) });
        r.attempts.insert(attempt, Attempt { sent_at: now, task: task.abort_handle(), row: None });
    }

    /// Answers the client of a request that another region did not serve.
    pub(super) fn answer_forwarded(&mut self, now: Time, request: RequestId, outcome: Outcome) {
        let Some(r) = self.requests.get(&request) else { return };
        if r.reply.is_none() {
            return self.mark_ended(request);
        }
        match client_answer(class_effect(&self.config, r.class), outcome) {
            ClientAnswer::Rejected => self.reject(now, request, RequestEnd::RejectedByRegion),
            ClientAnswer::Failed => self.answer(request, Answer::Failed, RequestEnd::FailedInRegion),
        }
    }
}
