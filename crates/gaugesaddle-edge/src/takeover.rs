//! The takeover of a stream by another backend, while its own backend is silent or after it has broken off.
//!
//! ```text
//!             response received              complete event, or proper end
//!  Requested -------------------> Started -----------------------------------> takes over
//!      |                             |
//!      +--- no backend responds -----+--- breaks off before that ---> failed
//! ```
//!
//! The stream's own backend is relayed until the takeover has the next event, since it may only have paused: it reads another
//! prompt, or has preempted the request.

use crate::body_tracker::BodyTracker;
use crate::dispatch::{Dispatch, StartedResponse};
use crate::rejection::Rejection;
use bytes::Bytes;
use hyper::body::Body;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// A part of a response's body.
pub enum BodyPart {
    Data(Bytes),
    /// The body ended without an error.
    End,
    Error(hyper::Error),
}

/// Polls for the next part of a response's body.
pub fn poll_body(started: &mut StartedResponse, context: &mut Context) -> Poll<BodyPart> {
    let response = &mut started.response;
    loop {
        response.connection.poll_drive(context);
        let part = match Pin::new(&mut response.body).poll_frame(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(None) => BodyPart::End,
            Poll::Ready(Some(Err(e))) => BodyPart::Error(e),
            Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => BodyPart::Data(bytes),
                // Trailers are not forwarded.
                Err(_) => continue,
            },
        };
        return Poll::Ready(part);
    }
}

type Request = Pin<Box<dyn Future<Output = Result<StartedResponse, Rejection>>>>;

/// A backend's response that may take over the stream, with the tracker of its body.
pub struct Successor {
    pub started: StartedResponse,
    pub tracker: BodyTracker,
}

enum Stage {
    /// The request is being sent to other backends, one after the other.
    Requested(Request),
    Started(Box<Successor>),
    Failed,
}

/// A takeover in progress. If it is dropped, its request is cancelled.
pub struct Takeover {
    stage: Stage,
}

impl Takeover {
    /// Requests the events after the last one of `tracker` from another backend.
    pub fn request(dispatch: Rc<Dispatch>, tracker: &BodyTracker) -> Takeover {
        let last_event_id = tracker.last_event_id().map(str::to_owned);
        let request = async move { dispatch.resume_after(last_event_id.as_deref()).await };
        Takeover { stage: Stage::Requested(Box::pin(request)) }
    }

    /// Polls until the response of a backend has begun; `tracker` is that of the stream so far. Returns false if the takeover
    /// has failed.
    fn poll_start(&mut self, context: &mut Context, tracker: &BodyTracker) -> Poll<bool> {
        let Stage::Requested(request) = &mut self.stage else {
            return Poll::Ready(matches!(self.stage, Stage::Started(_)));
        };
        let Poll::Ready(result) = request.as_mut().poll(context) else { return Poll::Pending };
        self.stage = match result {
            Ok(started) if started.response.head.status.is_success() => {
                let tracker = tracker.resumed(started.response.framing);
                Stage::Started(Box::new(Successor { started, tracker }))
            }
            Ok(_) | Err(_) => Stage::Failed,
        };
        Poll::Ready(matches!(self.stage, Stage::Started(_)))
    }

    /// Polls until another backend can continue the stream that `tracker` tracks: with the bytes of complete events, or with
    /// `None` at the stream's proper end. [`Takeover::into_successor`] then returns its response.
    ///
    /// # Errors
    /// No other backend can continue it.
    pub fn poll_events(
        &mut self, context: &mut Context, tracker: &BodyTracker,
    ) -> Poll<Result<Option<Bytes>, TakeoverFailed>> {
        match self.poll_start(context, tracker) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(false) => return Poll::Ready(Err(TakeoverFailed)),
            Poll::Ready(true) => {}
        }
        let Stage::Started(successor) = &mut self.stage else { return Poll::Ready(Err(TakeoverFailed)) };
        loop {
            match poll_body(&mut successor.started, context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(BodyPart::Data(bytes)) => {
                    successor.started.backend.record_data(Instant::now());
                    let events = successor.tracker.push(bytes);
                    if !events.is_empty() {
                        return Poll::Ready(Ok(Some(events)));
                    }
                }
                Poll::Ready(BodyPart::End) if successor.tracker.is_complete() => {
                    return Poll::Ready(Ok(None))
                }
                Poll::Ready(BodyPart::End | BodyPart::Error(_)) => return Poll::Ready(Err(TakeoverFailed)),
            }
        }
    }

    /// The response of the other backend.
    ///
    /// # Errors
    /// The response has not begun; returns the takeover.
    pub fn into_successor(self) -> Result<Successor, Takeover> {
        match self.stage {
            Stage::Started(successor) => Ok(*successor),
            stage @ (Stage::Requested(_) | Stage::Failed) => Err(Takeover { stage }),
        }
    }
}

/// No other backend can continue the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverFailed;
