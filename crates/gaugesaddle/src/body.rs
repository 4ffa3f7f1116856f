//! Bodies of any length within a fixed memory. What fits is held whole, so that it can be sent again or be found
//! broken before a byte of it goes on; what doesn't is passed on piece by piece, once.

use crate::exchange::Input;
use bytes::Bytes;
use gaugesaddle_balancer::RequestId;
use gaugesaddle_http_connection::RequestProgress;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::HeaderMap;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// A longer body, either way, is none of ours: an answer without end would never let go of its connection.
pub const MOST_BYTES: u64 = 40 << 20;
/// A request's body is held up to this size where there is room; a longer one is passed on while it comes, in one
/// attempt. Holding it costs no place on a backend while a slow client sends.
pub const HELD_BYTES: usize = 4 << 20;
/// Where neither side moves a byte of an answer that is being passed on for so long, it is cut off.
pub const STALL: Duration = Duration::from_secs(10);

/// What goes to a backend.
pub enum CallBody {
    /// All of it, for any number of attempts.
    Whole(Bytes),
    /// What has come, and what is to come: for the first attempt that gets a connection.
    Passing(RefCell<Option<Passing>>),
}

/// A request's body that is passed on.
pub struct Passing {
    pub first: VecDeque<Bytes>,
    pub rest: Incoming,
    /// Bytes in `first`, and later all that have passed.
    pub passed: u64,
    /// Whom to tell that the last byte has come.
    pub ended: Option<(mpsc::UnboundedSender<Input>, RequestId)>,
}

impl Passing {
    /// Its last byte is handed over: from now on it may run, and its client's patience is known.
    fn whole(&mut self, progress: &RequestProgress) {
        progress.body_complete.set(true);
        if let Some((inputs, request)) = self.ended.take() {
            let _ = inputs.send(Input::Whole(request));
        }
    }
}

/// Why a body can't be passed on.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    #[error("its sender broke off")]
    Broken,
    #[error("longer than {MOST_BYTES} bytes")]
    Long,
}

/// A request's body on its way to a backend.
pub enum Upload {
    Whole(Option<Bytes>),
    Passing(Passing, Rc<RequestProgress>),
}

impl CallBody {
    /// It can be sent again.
    pub fn is_whole(&self) -> bool {
        matches!(self, CallBody::Whole(_))
    }

    /// For an attempt on that connection; `None`: an earlier one has used it up.
    pub fn upload(&self, progress: &Rc<RequestProgress>) -> Option<Upload> {
        match self {
            CallBody::Whole(bytes) => {
                progress.restart(true);
                Some(Upload::Whole(Some(bytes.clone()).filter(|b| !b.is_empty())))
            }
            CallBody::Passing(passing) => {
                progress.restart(false);
                Some(Upload::Passing(passing.borrow_mut().take()?, progress.clone()))
            }
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>, cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Upload::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Upload::Passing(passing, progress) => {
                if let Some(bytes) = passing.first.pop_front() {
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                loop {
                    return Poll::Ready(match ready!(Pin::new(&mut passing.rest).poll_frame(cx)) {
                        Some(Ok(frame)) => {
                            let Ok(bytes) = frame.into_data() else { continue };
                            passing.passed += bytes.len() as u64;
                            if passing.passed > MOST_BYTES {
                                progress.client_aborted.set(true);
                                Some(Err(BodyError::Long))
                            } else {
                                // Nobody asks for more once the stated length is there.
                                if passing.rest.is_end_stream() {
                                    passing.whole(progress);
                                }
                                Some(Ok(Frame::data(bytes)))
                            }
                        }
                        Some(Err(_)) => {
                            progress.client_aborted.set(true);
                            Some(Err(BodyError::Broken))
                        }
                        None => {
                            passing.whole(progress);
                            None
                        }
                    });
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Upload::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Upload::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Upload::Passing(passing, _) => {
                let held: u64 = passing.first.iter().map(|b| b.len() as u64).sum();
                passing
                    .rest
                    .size_hint()
                    .exact()
                    .map_or_else(SizeHint::default, |n| SizeHint::with_exact(held + n))
            }
        }
    }
}

/// A piece of an answer that is passed on.
pub enum Piece {
    Data(Bytes),
    /// It was whole.
    End,
}

/// A backend's answer.
pub enum Payload {
    Whole(Bytes),
    /// What has come, and where the rest comes from. Ends without [`Piece::End`]: it broke.
    Passing(Bytes, mpsc::Receiver<Piece>),
}

/// An answer on its way to a client.
pub struct Download {
    first: Option<Bytes>,
    rest: Option<mpsc::Receiver<Piece>>,
    /// Told when nothing more goes to the client.
    done: Option<Box<dyn FnOnce()>>,
}

impl Download {
    pub fn whole(bytes: Bytes) -> Download {
        Download { first: Some(bytes).filter(|b| !b.is_empty()), rest: None, done: None }
    }

    /// `done` is called when it ends or is dropped, however far it came; for a whole answer at once.
    pub fn new(payload: Payload, done: impl FnOnce() + 'static) -> Download {
        match payload {
            Payload::Whole(bytes) => {
                done();
                Download::whole(bytes)
            }
            Payload::Passing(first, rest) => {
                Download { first: Some(first), rest: Some(rest), done: Some(Box::new(done)) }
            }
        }
    }

    /// More is to come than is held.
    pub fn is_passing(&self) -> bool {
        self.rest.is_some()
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        self.done.take().into_iter().for_each(|done| done());
    }
}

impl Body for Download {
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
            Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Piece::End) => {
                self.rest = None;
                None
            }
            // The client must be able to tell that it is not whole.
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

/// The answer ends with its connection, and says so (RFC 9112, 6.3).
pub fn ends_with_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(hyper::header::CONNECTION);
    let mut tokens = values.iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}
