//! Relays a response as it comes, and resumes a stream at another backend where its route allows it.
//!
//! ```text
//!              broken, or silent too long, and another backend may resume it
//!   Relaying ---------------------------------------------------------------> Resuming
//!    |   ^                                                                     |    |
//!    |   +------------------------- success -----------------------------------+    |
//!    |                                                                              |
//!    +--- end of the response, or broken and not to be resumed ---> Finished <------+ no backend responds
//! ```

use crate::dispatch::{Dispatch, StartedResponse};
use crate::rejection::Rejection;
use crate::response_body::BrokenResponse;
use bytes::Bytes;
use gaugesaddle_config::RouteKind;
use gaugesaddle_inference::EventScanner;
use hyper::body::Body;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// A resumable stream that is silent for this long is resumed elsewhere.
const STREAM_SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The next bytes for the client; `None` at the end.
type PollChunk = Poll<Option<Result<Bytes, BrokenResponse>>>;

type Resumption = Pin<Box<dyn Future<Output = (Dispatch, Result<StartedResponse, Rejection>)>>>;

/// A backend that responds, and the request that it responds to.
struct ActiveResponse {
    started: StartedResponse,
    dispatch: Dispatch,
}

enum Stage {
    Relaying(Box<ActiveResponse>),
    /// Another backend is asked to resume the stream.
    Resuming(Resumption),
    /// Complete or broken off.
    Finished,
}

/// A response on its way to a client.
pub struct Relay {
    stage: Stage,
    /// Splits a resumable stream into events; `None` for other responses.
    scanner: Option<EventScanner>,
    /// The last event that the client has.
    last_event_id: Option<String>,
    content_length: Option<u64>,
    /// Fires at the silence time-out of a resumable stream, and at the deadline.
    timer: Pin<Box<Sleep>>,
    deadline: Instant,
    latency_recorded: bool,
}

impl Relay {
    /// Relays a response; `last_event_id` is the event that the client said it had.
    pub fn new(started: StartedResponse, dispatch: Dispatch, last_event_id: Option<String>) -> Relay {
        let is_resumable = dispatch.route.kind == RouteKind::Streaming { resume: true };
        let content_length = if is_resumable { None } else { started.response.body.size_hint().exact() };
        let deadline = dispatch.deadline;
        let first_timeout =
            if is_resumable { deadline.min(Instant::now() + STREAM_SILENCE_TIMEOUT) } else { deadline };
        Relay {
            stage: Stage::Relaying(Box::new(ActiveResponse { started, dispatch })),
            scanner: is_resumable.then(EventScanner::default),
            last_event_id,
            content_length,
            timer: Box::pin(tokio::time::sleep_until(first_timeout)),
            deadline,
            latency_recorded: false,
        }
    }

    /// The length of the body, where the backend gave it.
    pub fn content_length(&self) -> Option<u64> {
        self.content_length
    }

    /// Polls for the next bytes for the client.
    pub fn poll_chunk(&mut self, context: &mut Context) -> PollChunk {
        loop {
            let step = match &mut self.stage {
                Stage::Finished => return Poll::Ready(None),
                Stage::Resuming(_) => self.poll_resumption(context),
                Stage::Relaying(_) => self.poll_response(context),
            };
            match step {
                Step::Continue => {}
                Step::Return(poll) => return poll,
            }
        }
    }

    fn poll_resumption(&mut self, context: &mut Context) -> Step {
        let Stage::Resuming(resumption) = &mut self.stage else { return Step::Continue };
        let Poll::Ready((dispatch, result)) = resumption.as_mut().poll(context) else {
            return Step::Return(Poll::Pending);
        };
        match result {
            Ok(started) if started.response.head.status.is_success() => {
                // The new backend begins with a whole event.
                self.scanner = self.scanner.take().map(|_| EventScanner::default());
                self.restart_silence_timer();
                self.stage = Stage::Relaying(Box::new(ActiveResponse { started, dispatch }));
                Step::Continue
            }
            _ => Step::Return(self.abort_response()),
        }
    }

    fn poll_response(&mut self, context: &mut Context) -> Step {
        let Stage::Relaying(active) = &mut self.stage else { return Step::Continue };
        let response = &mut active.started.response;
        response.connection.poll_drive(context);
        match Pin::new(&mut response.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let Ok(bytes) = frame.into_data() else { return Step::Continue };
                match self.accept(bytes) {
                    Some(bytes) => Step::Return(Poll::Ready(Some(Ok(bytes)))),
                    None => Step::Continue,
                }
            }
            Poll::Ready(None) => Step::Return(self.finish()),
            Poll::Ready(Some(Err(_))) => {
                if self.resume_at_another_backend() {
                    Step::Continue
                } else {
                    Step::Return(self.abort_response())
                }
            }
            Poll::Pending => self.poll_timer(context),
        }
    }

    fn poll_timer(&mut self, context: &mut Context) -> Step {
        if self.timer.as_mut().poll(context).is_pending() {
            return Step::Return(Poll::Pending);
        }
        if Instant::now() >= self.deadline {
            return Step::Return(self.abort_response());
        }
        if !self.resume_at_another_backend() {
            self.timer.as_mut().reset(self.deadline);
        }
        Step::Continue
    }

    /// Takes received bytes; returns those that may be passed on now.
    fn accept(&mut self, bytes: Bytes) -> Option<Bytes> {
        self.record_first_bytes();
        let Some(scanner) = &mut self.scanner else { return Some(bytes) };
        let complete_events = scanner.push(&bytes);
        self.restart_silence_timer();
        if complete_events.is_empty() {
            return None;
        }
        if let Some(id) = self.scanner.as_ref().and_then(|scanner| scanner.last_id()) {
            self.last_event_id = Some(id.to_owned());
        }
        Some(complete_events.into())
    }

    fn restart_silence_timer(&mut self) {
        let timeout = self.deadline.min(Instant::now() + STREAM_SILENCE_TIMEOUT);
        self.timer.as_mut().reset(timeout);
    }

    /// The response body has begun: its work is no backlog any more, and the first one of a request gives its latency.
    fn record_first_bytes(&mut self) {
        let Stage::Relaying(active) = &mut self.stage else { return };
        let ActiveResponse { started, dispatch } = active.as_mut();
        started.work = None;
        if std::mem::replace(&mut self.latency_recorded, true) {
            return;
        }
        dispatch.record_latency(&started.choice, started.latency_ms());
        if started.response.head.status.is_success() {
            dispatch.record_success(&started.backend);
        }
    }

    /// Asks another backend to resume behind the last event that was passed on; false where that is not allowed.
    fn resume_at_another_backend(&mut self) -> bool {
        let Stage::Relaying(active) = &mut self.stage else { return false };
        if self.scanner.is_none() || !active.dispatch.record_broken_stream() {
            return false;
        }
        let Stage::Relaying(active) = std::mem::replace(&mut self.stage, Stage::Finished) else {
            return false;
        };
        let ActiveResponse { started, mut dispatch } = *active;
        started.backend.record_failure(dispatch.state.now());
        dispatch.record_failure(&started.backend);
        drop(started);
        let last_event_id = self.last_event_id.clone();
        self.stage = Stage::Resuming(Box::pin(async move {
            let result = dispatch.resume_after(last_event_id.as_deref()).await;
            (dispatch, result)
        }));
        true
    }

    fn abort_response(&mut self) -> PollChunk {
        self.stage = Stage::Finished;
        Poll::Ready(Some(Err(BrokenResponse)))
    }

    /// The backend's response is complete: what the scanner still has is passed on, and the connection is kept.
    fn finish(&mut self) -> PollChunk {
        let rest = self.scanner.as_mut().map(EventScanner::finish).unwrap_or_default();
        if let Stage::Relaying(active) = std::mem::replace(&mut self.stage, Stage::Finished) {
            return_connection_to_pool(*active);
        }
        if rest.is_empty() {
            Poll::Ready(None)
        } else {
            Poll::Ready(Some(Ok(rest.into())))
        }
    }
}

/// What a poll of the present stage leads to.
enum Step {
    /// The stage or its input has changed: poll again.
    Continue,
    Return(PollChunk),
}

/// Puts the connection of a complete response aside for the next request.
fn return_connection_to_pool(active: ActiveResponse) {
    let ActiveResponse { started, dispatch } = active;
    let StartedResponse { response, backend, .. } = started;
    let mut connection = response.connection;
    let state = dispatch.state.clone();
    tokio::task::spawn_local(async move {
        if connection.is_reusable().await {
            backend.put_idle(state.now(), connection);
        }
    });
}
