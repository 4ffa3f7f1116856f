//! The body of a response to a client: buffered bytes, or a relayed stream.

use crate::active_request::ActiveRequest;
use crate::rejection::Rejection;
use crate::relay::{BrokenResponse, Relay};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::Response;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a response to a client.
pub enum ResponseBody {
    /// The complete body; `None` once it was returned.
    Buffered(Option<Bytes>),
    /// Forwarded as the backend sends it.
    Relayed(Box<Relay>),
}

impl ResponseBody {
    /// An empty body.
    pub fn empty() -> ResponseBody {
        ResponseBody::Buffered(Some(Bytes::new()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BrokenResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        match &mut *self {
            ResponseBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ResponseBody::Relayed(relay) => {
                relay.poll_chunk(context).map(|chunk| chunk.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            ResponseBody::Relayed(relay) => {
                relay.content_length().map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

/// A body whose request is in progress until it is dropped, which the server does once the body has been sent.
pub struct CountedBody {
    body: ResponseBody,
    _active: ActiveRequest,
}

impl CountedBody {
    /// Counts the request of `body`.
    pub fn new(body: ResponseBody, active: ActiveRequest) -> CountedBody {
        CountedBody { body, _active: active }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BrokenResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>, context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenResponse>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The response to a request that this proxy rejects.
pub fn rejection_response(rejection: Rejection) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::empty());
    *response.status_mut() = rejection.status();
    if let Some(after) = rejection.retry_after() {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(after));
    }
    if rejection.closes_connection() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
