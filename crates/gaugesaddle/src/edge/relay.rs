//! Passes an answer on as it comes, and continues a stream at another backend where its route allows it.

use super::dispatch::{Begun, Job};
use super::load;
use super::refusal::Refusal;
use bytes::Bytes;
use gaugesaddle_config::RouteKind;
use gaugesaddle_inference::EventScanner;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

/// A stream that can be continued and pauses for so long is continued elsewhere.
const SILENCE: Duration = Duration::from_millis(1500);

/// The answer cannot be passed on to its end; its client's connection is broken off, so that it does not look whole.
#[derive(Debug, Error)]
#[error("the answer was broken off")]
pub struct BrokenOff;

/// The body of an answer to a client.
pub enum Outgoing {
    /// Whole bytes.
    Whole(Option<Bytes>),
    /// What a backend sends.
    Relayed(Box<Relay>),
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            Outgoing::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Outgoing::Relayed(relay) => relay.poll_piece(cx).map(|piece| piece.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outgoing::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Outgoing::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Outgoing::Relayed(relay) => relay.length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

type Continuing = Pin<Box<dyn Future<Output = (Job, Result<Begun, Refusal>)>>>;

/// A backend that sends, for a request.
struct Passing {
    begun: Begun,
    job: Job,
}

enum Stage {
    /// A backend sends.
    Passing(Box<Passing>),
    /// Another backend is asked to go on.
    Continuing(Continuing),
    /// Over, well or not.
    Over,
}

/// An answer on its way.
pub struct Relay {
    stage: Stage,
    /// Splits a stream that may be continued.
    scanner: Option<EventScanner>,
    /// The event that the client said it had.
    first_id: Option<String>,
    length: Option<u64>,
    silence: Pin<Box<Sleep>>,
    deadline: Instant,
    heard: bool,
}

impl Relay {
    pub fn new(begun: Begun, job: Job, first_id: Option<String>) -> Relay {
        let resumes = job.route.kind == RouteKind::Streaming { resume: true };
        let scanner = resumes.then(EventScanner::default);
        let length = if resumes { None } else { begun.answer.body.size_hint().exact() };
        let deadline = job.deadline;
        let silence = Box::pin(tokio::time::sleep_until(if resumes {
            deadline.min(Instant::now() + SILENCE)
        } else {
            deadline
        }));
        Relay {
            stage: Stage::Passing(Box::new(Passing { begun, job })),
            scanner,
            first_id,
            length,
            silence,
            deadline,
            heard: false,
        }
    }

    fn poll_piece(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, BrokenOff>>> {
        loop {
            match &mut self.stage {
                Stage::Over => return Poll::Ready(None),
                Stage::Continuing(continuing) => {
                    let Poll::Ready((job, result)) = continuing.as_mut().poll(cx) else {
                        return Poll::Pending;
                    };
                    match result {
                        Ok(begun) if begun.answer.head.status.is_success() => {
                            self.scanner = self.scanner.take().map(|_| EventScanner::default());
                            self.note_piece();
                            self.stage = Stage::Passing(Box::new(Passing { begun, job }));
                        }
                        _ => return self.break_off(),
                    }
                }
                Stage::Passing(passing) => {
                    let begun = &mut passing.begun;
                    begun.answer.link.poll_driving(cx);
                    match Pin::new(&mut begun.answer.body).poll_frame(cx) {
                        Poll::Ready(Some(Ok(frame))) => {
                            let Ok(bytes) = frame.into_data() else { continue };
                            if let Some(bytes) = self.take(bytes) {
                                return Poll::Ready(Some(Ok(bytes)));
                            }
                        }
                        Poll::Ready(None) => return self.end(),
                        Poll::Ready(Some(Err(_))) => {
                            if !self.go_elsewhere() {
                                return self.break_off();
                            }
                        }
                        Poll::Pending => {
                            if self.silence.as_mut().poll(cx).is_pending() {
                                return Poll::Pending;
                            }
                            if Instant::now() >= self.deadline {
                                return self.break_off();
                            }
                            if !self.go_elsewhere() {
                                self.silence.as_mut().reset(self.deadline);
                            }
                        }
                    }
                }
            }
        }
    }

    /// Bytes that came: those that may go on now.
    fn take(&mut self, bytes: Bytes) -> Option<Bytes> {
        self.note_latency();
        let Some(scanner) = &mut self.scanner else { return Some(bytes) };
        let whole = scanner.push(&bytes);
        self.note_piece();
        if whole.is_empty() {
            return None;
        }
        if let Some(id) = self.scanner.as_ref().and_then(|s| s.last_id()) {
            self.first_id = Some(id.to_owned());
        }
        Some(whole.into())
    }

    /// Silence counts anew.
    fn note_piece(&mut self) {
        let until = self.deadline.min(Instant::now() + SILENCE);
        self.silence.as_mut().reset(until);
    }

    fn note_latency(&mut self) {
        let Stage::Passing(passing) = &mut self.stage else { return };
        let Passing { begun, job } = passing.as_mut();
        begun.work = None;
        if !std::mem::replace(&mut self.heard, true) {
            let latency = begun.sent.elapsed().as_secs_f64() * 1000.0;
            let choice = &begun.choice;
            job.fleet.with_chooser(&job.route, &job.service_name, |c| c.record_latency(choice, latency));
            if begun.answer.head.status.is_success() {
                let backend = load::number(begun.backend.identity);
                job.fleet.loads.borrow_mut().served(job.fleet.now(), backend);
            }
        }
    }

    /// Asks another backend to go on behind the last event that was passed on, where that is allowed.
    fn go_elsewhere(&mut self) -> bool {
        let Stage::Passing(passing) = &mut self.stage else { return false };
        if self.scanner.is_none() || !passing.job.broke_off() {
            return false;
        }
        let Stage::Passing(passing) = std::mem::replace(&mut self.stage, Stage::Over) else {
            return false;
        };
        let Passing { begun, mut job } = *passing;
        begun.backend.failed(job.fleet.now());
        job.note_failure(&begun.backend);
        drop(begun);
        let last = self.first_id.clone();
        self.stage = Stage::Continuing(Box::pin(async move {
            let result = job.go_on(last.as_deref()).await;
            (job, result)
        }));
        true
    }

    fn break_off(&mut self) -> Poll<Option<Result<Bytes, BrokenOff>>> {
        self.stage = Stage::Over;
        Poll::Ready(Some(Err(BrokenOff)))
    }

    fn end(&mut self) -> Poll<Option<Result<Bytes, BrokenOff>>> {
        let rest = self.scanner.as_mut().map(EventScanner::finish).unwrap_or_default();
        if let Stage::Passing(passing) = std::mem::replace(&mut self.stage, Stage::Over) {
            let Passing { begun, job } = *passing;
            let Begun { answer, backend, .. } = begun;
            let mut link = answer.link;
            let fleet = job.fleet.clone();
            tokio::task::spawn_local(async move {
                if link.alive().await {
                    backend.put_back(fleet.now(), link);
                }
            });
        }
        if rest.is_empty() {
            Poll::Ready(None)
        } else {
            Poll::Ready(Some(Ok(rest.into())))
        }
    }
}
