//! Relays a response as it is received, and has a stream that breaks off or falls silent taken over by another backend if its
//! route permits it.
//!
//! | own backend | takeover | relayed |
//! | --- | --- | --- |
//! | sends | none | the own response |
//! | [silent](crate::silence) for too long | in progress | whichever sends the next event first; the other one is dropped |
//! | silent | failed | the own response, to its end or the deadline; the next silence starts another takeover |
//! | broken off | in progress | the takeover |
//! | broken off | not permitted, or failed | nothing: the client's connection is aborted |

use crate::body_tracker::BodyTracker;
use crate::dispatch::{Dispatch, StartedResponse};
use crate::silence;
use crate::takeover::{poll_body, BodyPart, Successor, Takeover, TakeoverFailed};
use bytes::Bytes;
use spdlog::debug;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

/// The response cannot be relayed completely. The client's connection is aborted, so that the response does not look
/// complete.
#[derive(Debug, Error)]
#[error("relaying the response failed: the upstream response is incomplete")]
pub struct BrokenResponse;

/// The next bytes for the client; `None` at the end of the response.
type PollChunk = Poll<Option<Result<Bytes, BrokenResponse>>>;

/// A response that is relayed to a client.
pub struct Relay {
    dispatch: Rc<Dispatch>,
    /// The response that is relayed; `None` once it has broken off, or the response to the client is complete or aborted.
    current: Option<Box<StartedResponse>>,
    takeover: Option<Takeover>,
    tracker: BodyTracker,
    content_length: Option<u64>,
    /// When the current response last sent data, or a takeover last failed.
    silent_since: Instant,
    max_pause: Duration,
    /// Fires when a resumable stream may have been silent for too long, or at the deadline.
    timer: Pin<Box<Sleep>>,
    latency_recorded: bool,
    /// Whether the silence of the current backend has been recorded as a failure.
    silence_recorded: bool,
}

impl Relay {
    /// Relays a response whose body `tracker` tracks.
    pub fn new(started: StartedResponse, dispatch: Dispatch, tracker: BodyTracker) -> Relay {
        use hyper::body::Body;
        dispatch.release_body(tracker.is_resumable());
        let content_length =
            if tracker.is_resumable() { None } else { started.response.body.size_hint().exact() };
        let mut relay = Relay {
            silent_since: Instant::now(),
            max_pause: silence::max_pause(&dispatch.route),
            timer: Box::pin(tokio::time::sleep_until(dispatch.deadline)),
            dispatch: Rc::new(dispatch),
            current: Some(Box::new(started)),
            takeover: None,
            tracker,
            content_length,
            latency_recorded: false,
            silence_recorded: false,
        };
        relay.restart_silence_timer();
        relay
    }

    /// The length of the body, if the backend announced it and the stream cannot be resumed.
    pub fn content_length(&self) -> Option<u64> {
        self.content_length
    }

    /// Polls for the next bytes for the client.
    pub fn poll_chunk(&mut self, context: &mut Context) -> PollChunk {
        loop {
            if self.current.is_none() && self.takeover.is_none() {
                return Poll::Ready(None);
            }
            let mut step = self.poll_current(context);
            if matches!(step, Step::Pending) {
                step = self.poll_takeover(context);
            }
            if matches!(step, Step::Pending) {
                step = self.poll_timer(context);
            }
            match step {
                Step::Continue => {}
                Step::Pending => return Poll::Pending,
                Step::Return(chunk) => return Poll::Ready(chunk),
            }
        }
    }

    fn poll_current(&mut self, context: &mut Context) -> Step {
        let Some(current) = &mut self.current else { return Step::Pending };
        match poll_body(current, context) {
            Poll::Pending => Step::Pending,
            Poll::Ready(BodyPart::Data(bytes)) => self.accept(bytes),
            Poll::Ready(BodyPart::End) if self.tracker.is_complete() => self.finish(),
            Poll::Ready(BodyPart::End) => self.handle_incomplete_body("the connection was closed"),
            Poll::Ready(BodyPart::Error(e)) => self.handle_incomplete_body(&format!("error: {e}")),
        }
    }

    /// Processes received bytes of the current response.
    fn accept(&mut self, bytes: Bytes) -> Step {
        self.record_first_bytes();
        self.silent_since = Instant::now();
        if let Some(current) = &self.current {
            current.backend.record_data(self.silent_since);
        }
        let forwarded = self.tracker.push(bytes);
        self.silence_recorded = false;
        // A timer that waits for a silence is set anew by `silent_since` when it fires, not for each part of a body.
        let awaits_deadline = self.timer.deadline() >= self.dispatch.deadline;
        if self.takeover.is_none() && awaits_deadline && self.tracker.is_resumable() {
            self.restart_silence_timer();
        }
        if forwarded.is_empty() {
            return Step::Continue;
        }
        // What the takeover has requested begins with an event that the client has now.
        if self.takeover.take().is_some() {
            self.restart_silence_timer();
        }
        Step::Return(Some(Ok(forwarded)))
    }

    /// Has a response whose body broke off taken over, or aborts it if that is not permitted.
    fn handle_incomplete_body(&mut self, cause: &str) -> Step {
        let Some(broken) = self.current.take() else { return Step::Continue };
        let is_taken_over = self.replace_broken(&broken);
        let action = if is_taken_over { "resumed" } else { "aborted" };
        let (framing, position) = (self.tracker.framing(), self.tracker.position());
        let backend = &broken.backend.id;
        debug!("response of backend {backend} broke off ({framing:?}, {position:?}), {action}: {cause}");
        if is_taken_over {
            Step::Continue
        } else {
            self.abort()
        }
    }

    /// Continues with the takeover in progress, or starts one; false if that is not permitted.
    fn replace_broken(&mut self, broken: &StartedResponse) -> bool {
        match self.takeover.take().map(Takeover::into_successor) {
            None => return self.start_takeover(broken),
            Some(Ok(successor)) => self.continue_with(successor),
            Some(Err(takeover)) => self.takeover = Some(takeover),
        }
        true
    }

    /// Requests the rest of the stream from another backend, and records the failure of `failed`; false if that is not
    /// permitted.
    fn start_takeover(&mut self, failed: &StartedResponse) -> bool {
        if !self.tracker.is_resumable() || !self.dispatch.record_broken_stream() {
            return false;
        }
        if !std::mem::replace(&mut self.silence_recorded, true) {
            failed.backend.record_failure(self.dispatch.state.now());
            self.dispatch.record_failure(&failed.backend);
        }
        self.takeover = Some(Takeover::request(self.dispatch.clone(), &self.tracker));
        self.timer.as_mut().reset(self.dispatch.deadline);
        true
    }

    fn poll_takeover(&mut self, context: &mut Context) -> Step {
        let Some(takeover) = &mut self.takeover else { return Step::Pending };
        let Poll::Ready(result) = takeover.poll_events(context, &self.tracker) else { return Step::Pending };
        let successor = self.takeover.take().and_then(|takeover| takeover.into_successor().ok());
        match (result, successor) {
            (Ok(events), Some(successor)) => {
                self.continue_with(successor);
                self.record_first_bytes();
                events.map_or_else(|| self.finish(), |events| Step::Return(Some(Ok(events))))
            }
            (Err(TakeoverFailed), successor) => self.handle_failed_takeover(successor),
            (Ok(_), None) => Step::Continue,
        }
    }

    /// After a failed takeover the own response is relayed further. If it has broken off, another takeover is started for that of
    /// `successor`, which has broken off, too.
    fn handle_failed_takeover(&mut self, successor: Option<Successor>) -> Step {
        if self.current.is_some() {
            self.restart_silence_timer();
            return Step::Continue;
        }
        match successor {
            Some(broken) if self.start_takeover(&broken.started) => Step::Continue,
            _ => self.abort(),
        }
    }

    /// Relays the response of another backend from now on; the present one is dropped.
    fn continue_with(&mut self, successor: Successor) {
        self.tracker = successor.tracker;
        self.current = Some(Box::new(successor.started));
        self.silence_recorded = false;
        self.dispatch.release_body(self.tracker.is_resumable());
        self.restart_silence_timer();
    }

    fn poll_timer(&mut self, context: &mut Context) -> Step {
        if self.timer.as_mut().poll(context).is_pending() {
            return Step::Pending;
        }
        if Instant::now() >= self.dispatch.deadline {
            return self.abort();
        }
        self.timer.as_mut().reset(self.dispatch.deadline);
        let Some(current) = self.current.take() else { return Step::Continue };
        let takeover_time = self.takeover_time(&current);
        if Instant::now() < takeover_time {
            self.timer.as_mut().reset(takeover_time);
        } else {
            self.start_takeover(&current);
        }
        self.current = Some(current);
        Step::Continue
    }

    /// When the silence of the current response has been too long, or the deadline.
    fn takeover_time(&self, current: &StartedResponse) -> Instant {
        let last_sent = current.backend.last_sent();
        silence::takeover_time(self.silent_since, last_sent, self.max_pause).min(self.dispatch.deadline)
    }

    /// Restarts the timer: of the silence of a resumable stream, or of the deadline.
    fn restart_silence_timer(&mut self) {
        let deadline = self.dispatch.deadline;
        let is_resumable = self.tracker.is_resumable();
        self.silent_since = Instant::now();
        let silence_timeout = self.silent_since + silence::SILENCE_TIMEOUT;
        let timeout = if is_resumable { deadline.min(silence_timeout) } else { deadline };
        self.timer.as_mut().reset(timeout);
    }

    /// Records that the response body has begun: its work no longer counts as backlog. Latency and success are recorded only
    /// once per request, for its first response.
    fn record_first_bytes(&mut self) {
        let Some(started) = &mut self.current else { return };
        started.work = None;
        if std::mem::replace(&mut self.latency_recorded, true) {
            return;
        }
        self.dispatch.record_latency(&started.choice, started.latency_ms());
        if started.response.head.status.is_success() {
            self.dispatch.record_success(&started.backend);
        }
    }

    fn abort(&mut self) -> Step {
        self.current = None;
        self.takeover = None;
        Step::Return(Some(Err(BrokenResponse)))
    }

    /// Ends a complete response: forwards the bytes that were withheld and returns the connection to the pool.
    fn finish(&mut self) -> Step {
        let rest = self.tracker.finish();
        self.takeover = None;
        if let Some(started) = self.current.take() {
            return_connection_to_pool(*started, self.dispatch.clone());
        }
        Step::Return((!rest.is_empty()).then_some(Ok(rest)))
    }
}

/// The result of polling a part of the relay.
enum Step {
    /// The state or its input has changed and must be polled again.
    Continue,
    Pending,
    /// The next bytes for the client; `None` at the end of the response.
    Return(Option<Result<Bytes, BrokenResponse>>),
}

/// Returns the connection of a complete response to the backend's idle pool, if it can be reused.
fn return_connection_to_pool(started: StartedResponse, dispatch: Rc<Dispatch>) {
    let StartedResponse { response, backend, .. } = started;
    let mut connection = response.connection;
    let state = dispatch.state.clone();
    tokio::task::spawn_local(async move {
        if connection.is_reusable().await {
            backend.put_idle(state.now(), connection);
        }
    });
}
