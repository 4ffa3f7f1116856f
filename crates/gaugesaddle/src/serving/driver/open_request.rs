//! The state of one request and its attempts.

use crate::operations::registry::BackendRow;
use crate::serving::exchange::{Answer, AttemptResult, Call, Input, SendWindow};
use gaugesaddle_balancer::{AttemptNo, ClassId, Effect, Micros, Outcome, RequestId, Time};
use gaugesaddle_federation::Via;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) sent_at: Time,
    pub(super) task: AbortHandle,
    /// The row of the registry that counts its outcome.
    pub(super) row: Option<Rc<BackendRow>>,
}

impl Attempt {
    /// Counts its only outcome and stops its task; returns when it was sent.
    pub(super) fn finish(self, outcome: Outcome, now: Time) -> Time {
        self.task.abort();
        if let Some(row) = self.row {
            row.record_end(outcome, now - self.sent_at);
        }
        self.sent_at
    }
}

/// Reports the result of an attempt however its task ends. After a panic that is a reset, since the attempt may have
/// been executed.
pub(super) struct AttemptReporter {
    inputs: mpsc::UnboundedSender<Input>,
    request: RequestId,
    attempt: AttemptNo,
    is_reported: bool,
}

impl AttemptReporter {
    pub(super) fn new(
        inputs: mpsc::UnboundedSender<Input>, request: RequestId, attempt: AttemptNo,
    ) -> AttemptReporter {
        AttemptReporter { inputs, request, attempt, is_reported: false }
    }

    pub(super) fn report(&mut self, result: AttemptResult) {
        self.is_reported = true;
        let _ = self.inputs.send(Input::AttemptEnded(self.request, self.attempt, result));
    }
}

impl Drop for AttemptReporter {
    fn drop(&mut self) {
        if !self.is_reported {
            self.report(Outcome::Reset.into());
        }
    }
}

/// The client or account of a request.
#[derive(Clone, Copy)]
pub(super) struct Source {
    pub(super) hash: u64,
    /// Whether it retried before the delay that it was given.
    pub(super) retried_early: bool,
}

/// A request without a final answer, or with attempts in flight.
///
/// ```text
///              answered, or the client disconnects           the last attempt ends
///  reply: Some ---------------------------------> reply: None -------------------> ended
///    |  attempts start and end                      no attempt is sent any more
///    +--> is_forwarded: one attempt, to another region; the balancer does not track the request any more
/// ```
pub(super) struct OpenRequest {
    pub(super) class: ClassId,
    /// An answer until this time meets the latency objective.
    pub(super) objective_at: Time,
    pub(super) deadline: Time,
    pub(super) patience_after_body: Option<Micros>,
    pub(super) source: Source,
    pub(super) call: Rc<Call>,
    /// The regions that it was forwarded through.
    pub(super) via: Option<Via>,
    /// Whether it was forwarded to another region.
    pub(super) is_forwarded: bool,
    /// `None`: it has had its final answer, or its client has disconnected.
    pub(super) reply: Option<oneshot::Sender<Answer>>,
    pub(super) attempts: HashMap<AttemptNo, Attempt>,
    /// Number of attempts so far.
    pub(super) attempt_count: u32,
    /// The earliest send time of the attempts that have ended and may have been executed.
    pub(super) may_have_run: Option<Time>,
}

impl OpenRequest {
    /// Counts an attempt's only outcome and stops its task; returns when it was sent.
    pub(super) fn finish_attempt(&mut self, attempt: Attempt, outcome: Outcome, now: Time) -> Time {
        let sent_at = attempt.finish(outcome, now);
        if !outcome.never_ran() {
            self.may_have_run = Some(self.may_have_run.map_or(sent_at, |first| first.min(sent_at)));
        }
        sent_at
    }

    /// The window of a further attempt: while its client waits, and for a retry of a keyed request that may have been
    /// executed only while the backends store its key. The balancer checks this when it decides, but the connection is
    /// established after that.
    pub(super) fn send_window(&self, effect: Effect, tick: Micros) -> SendWindow {
        let first_sent = self.attempts.values().map(|a| a.sent_at).chain(self.may_have_run).min();
        let send_before = match (effect, first_sent) {
            (Effect::Keyed(_, window), Some(first)) => {
                self.deadline.min(Time((first + window).0.saturating_sub(tick.0)))
            }
            _ => self.deadline,
        };
        SendWindow { send_before, deadline: self.deadline }
    }

    /// Takes the reply channel: the request has its final answer, or needs none any more.
    pub(super) fn take_reply(&mut self) -> Option<oneshot::Sender<Answer>> {
        self.call.is_awaited.set(false);
        self.reply.take()
    }

    /// The number of the next attempt.
    pub(super) fn next_attempt(&mut self) -> AttemptNo {
        let attempt = AttemptNo(self.attempt_count);
        self.attempt_count += 1;
        attempt
    }

    pub(super) fn is_ended(&self) -> bool {
        self.reply.is_none() && self.attempts.is_empty()
    }
}
