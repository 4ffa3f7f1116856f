//! Bodies of any length within a fixed amount of memory. A body that fits is buffered, so that it can be sent again, or
//! rejected as incomplete before a byte of it is forwarded. A longer one is streamed in chunks, once.

use bytes::Bytes;
use gaugesaddle_http_connection::RequestProgress;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum length of a body in either direction: an answer without end would never release its connection.
pub const MAX_BODY_BYTES: u64 = 40 << 20;
/// A request's body is buffered up to this size where there is memory; a longer one is streamed in one attempt. While it is
/// buffered a slow client uses no slot of a backend.
pub const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// A streamed answer is cut off when neither side transfers a byte for this long.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a request.
pub enum CallBody {
    /// The full body, for any number of attempts.
    Buffered(Bytes),
    /// The received part and the rest, for the first attempt that has a connection.
    Streaming(RefCell<Option<Streaming>>),
}

/// A streamed body of a request.
pub struct Streaming {
    /// The chunks received so far.
    pub first: VecDeque<Bytes>,
    /// The source of the rest.
    pub rest: Incoming,
    /// Number of bytes received so far, at first those in `first`.
    pub transferred: u64,
    /// Called when the last byte was received.
    pub on_complete: Option<Box<dyn FnOnce()>>,
}

impl Streaming {
    /// Records that the last byte was passed on: from now on the request may be executed, and its client's patience
    /// counts.
    fn complete(&mut self, progress: &RequestProgress) {
        progress.body_complete.set(true);
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }

    fn poll_chunk(
        &mut self, progress: &RequestProgress, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(bytes) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.rest).poll_frame(cx)) else {
                self.complete(progress);
                return Poll::Ready(None);
            };
            let Ok(frame) = frame else {
                progress.client_aborted.set(true);
                return Poll::Ready(Some(Err(BodyError::Broken)));
            };
            let Ok(bytes) = frame.into_data() else { continue };
            self.transferred += bytes.len() as u64;
            if self.transferred > MAX_BODY_BYTES {
                progress.client_aborted.set(true);
                return Poll::Ready(Some(Err(BodyError::TooLong)));
            }
            // Hyper does not poll again once the stated length was received.
            if self.rest.is_end_stream() {
                self.complete(progress);
            }
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
    }
}

/// Why a body cannot be streamed to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// Its sender stopped before its end.
    #[error("the body is incomplete: its sender stopped before its end")]
    Broken,
    /// It exceeds [`MAX_BODY_BYTES`].
    #[error("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
}

/// The body of a request as it is sent to a backend.
pub enum RequestBody {
    Buffered(Option<Bytes>),
    Streaming(Streaming, Rc<RequestProgress>),
}

impl CallBody {
    /// Whether it can be sent again.
    pub fn is_buffered(&self) -> bool {
        matches!(self, CallBody::Buffered(_))
    }

    /// The body for an attempt on that connection; `None`: an earlier attempt has consumed it.
    pub fn upload(&self, progress: &Rc<RequestProgress>) -> Option<RequestBody> {
        match self {
            CallBody::Buffered(bytes) => {
                progress.restart(true);
                Some(RequestBody::Buffered(Some(bytes.clone()).filter(|b| !b.is_empty())))
            }
            CallBody::Streaming(body) => {
                progress.restart(false);
                Some(RequestBody::Streaming(body.borrow_mut().take()?, progress.clone()))
            }
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            RequestBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            RequestBody::Streaming(body, progress) => body.poll_chunk(progress, cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, RequestBody::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            RequestBody::Streaming(body, _) => {
                let buffered: u64 = body.first.iter().map(|b| b.len() as u64).sum();
                body.rest
                    .size_hint()
                    .exact()
                    .map_or_else(SizeHint::default, |n| SizeHint::with_exact(buffered + n))
            }
        }
    }
}

/// A chunk of a streamed answer.
pub enum Chunk {
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// The body of a backend's answer.
pub enum Payload {
    Buffered(Bytes),
    /// The received part and the source of the rest. If that source ends without [`Chunk::End`], the answer is
    /// incomplete.
    Streaming(Bytes, mpsc::Receiver<Chunk>),
}

/// The body of an answer as it is sent to a client.
pub struct ResponseBody {
    first: Option<Bytes>,
    rest: Option<mpsc::Receiver<Chunk>>,
    /// Called when the body is dropped: nothing more is sent to the client.
    done: Option<Box<dyn FnOnce()>>,
}

impl ResponseBody {
    pub fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody { first: Some(bytes).filter(|b| !b.is_empty()), rest: None, done: None }
    }

    /// `done` is called when a streamed body is dropped; for a buffered one it is called at once.
    pub fn new(payload: Payload, done: impl FnOnce() + 'static) -> ResponseBody {
        match payload {
            Payload::Buffered(bytes) => {
                done();
                ResponseBody::buffered(bytes)
            }
            Payload::Streaming(first, rest) => {
                ResponseBody { first: Some(first), rest: Some(rest), done: Some(Box::new(done)) }
            }
        }
    }

    /// Whether chunks may follow the buffered part.
    pub fn is_streaming(&self) -> bool {
        self.rest.is_some()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.done.take().into_iter().for_each(|done| done());
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(bytes) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        Poll::Ready(match ready!(rest.poll_recv(cx)) {
            Some(Chunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Chunk::End) => {
                self.rest = None;
                None
            }
            // The client must be able to detect that the answer is incomplete.
            None => Some(Err(BodyError::Broken)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            Some(_) => SizeHint::default(),
            None => SizeHint::with_exact(self.first.as_ref().map_or(0, |b| b.len() as u64)),
        }
    }
}
