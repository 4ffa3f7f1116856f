//! Tracks the body of a response that is relayed, and decides whether its end is the end of the response. Without I/O.
//!
//! ```text
//!  body ends with    framing          the body so far                         the response is
//!  an error          any              any                                     incomplete
//!  its end           self-delimited   any                                     complete
//!  its end           close-delimited  an event stream, inside an event        incomplete
//!  its end           close-delimited  an event stream before its first event  incomplete, unless it was to be resumed
//!  its end           close-delimited  any other                               complete, as far as can be known
//! ```
//!
//! The connections of a process that is killed end in the ordinary way, so the end of a close-delimited body alone does not
//! show that the body is complete.

use bytes::Bytes;
use gaugesaddle_config::RouteKind;
use gaugesaddle_http_connection::{is_event_stream, BodyFraming};
use gaugesaddle_inference::{EventBoundary, EventScanner, StreamPosition};
use hyper::header::{HeaderMap, CONTENT_ENCODING, CONTENT_TYPE};
use hyper::http::response::Parts;

/// How much of the body's content is inspected.
enum Content {
    /// Not an event stream, or one whose events need not be found: its bytes are forwarded as they are received.
    Opaque,
    /// An event stream that ends with its connection and cannot be resumed: its bytes are forwarded as they are received.
    Events(EventBoundary),
    /// An event stream that can be resumed: only complete events are forwarded.
    ResumableEvents(EventScanner),
}

/// The body of one response to a client, which may be received from several backends in turn.
pub struct BodyTracker {
    framing: BodyFraming,
    content: Content,
    /// ID of the last event that the client has.
    last_event_id: Option<String>,
}

impl BodyTracker {
    /// Tracks the body of a response. `last_event_id` is the request's `Last-Event-Id`.
    pub fn new(
        route: RouteKind, head: &Parts, framing: BodyFraming, last_event_id: Option<String>,
    ) -> BodyTracker {
        let content = match route {
            _ if !head.status.is_success() || !has_events(&head.headers) => Content::Opaque,
            RouteKind::Streaming { resume: true } => Content::ResumableEvents(EventScanner::default()),
            // Where the body states its end, the position in the stream decides nothing.
            RouteKind::Streaming { resume: false } if framing == BodyFraming::CloseDelimited => {
                Content::Events(EventBoundary::default())
            }
            RouteKind::Streaming { resume: false } | RouteKind::Idempotent | RouteKind::NonIdempotent => {
                Content::Opaque
            }
        };
        BodyTracker { framing, content, last_event_id }
    }

    /// Whether the response may be resumed at another backend as far as its content permits it.
    pub fn is_resumable(&self) -> bool {
        matches!(&self.content, Content::ResumableEvents(scanner) if scanner.is_resumable())
    }

    /// ID of the last event that the client has.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref()
    }

    /// Tracks the body of another backend, which begins with a complete event behind the last one that the client has.
    pub fn resumed(&self, framing: BodyFraming) -> BodyTracker {
        let content = Content::ResumableEvents(EventScanner::default());
        BodyTracker { framing, content, last_event_id: self.last_event_id.clone() }
    }

    /// Adds received bytes; returns the bytes that can be forwarded now.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        match &mut self.content {
            Content::Opaque => bytes,
            Content::Events(boundary) => {
                boundary.advance(&bytes);
                bytes
            }
            Content::ResumableEvents(scanner) => {
                let complete_events = scanner.push(&bytes);
                if let Some(id) = scanner.last_id().filter(|_| !complete_events.is_empty()) {
                    self.last_event_id = Some(id.to_owned());
                }
                complete_events.into()
            }
        }
    }

    /// Whether the response is complete, now that its body has ended without an error.
    pub fn is_complete(&self) -> bool {
        let has_earlier_events = self.last_event_id.is_some();
        let can_be_end = self.position().is_none_or(|position| position.can_be_end(has_earlier_events));
        self.framing == BodyFraming::SelfDelimited || can_be_end
    }

    /// The bytes of a complete response that were not forwarded.
    pub fn finish(&mut self) -> Bytes {
        match &mut self.content {
            Content::Opaque | Content::Events(_) => Bytes::new(),
            Content::ResumableEvents(scanner) => scanner.finish().into(),
        }
    }

    /// How the body states its end.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// The position in the event stream; `None` if the content is not inspected.
    pub fn position(&self) -> Option<StreamPosition> {
        match &self.content {
            Content::Opaque => None,
            Content::Events(boundary) => Some(boundary.position()),
            Content::ResumableEvents(scanner) => Some(scanner.position()),
        }
    }
}

/// Whether the body of a response on a streaming route has events that can be read. One that states nothing of its content
/// is assumed to have events.
fn has_events(headers: &HeaderMap) -> bool {
    let states_content = headers.contains_key(CONTENT_TYPE) || headers.contains_key(CONTENT_ENCODING);
    !states_content || is_event_stream(headers)
}

#[cfg(test)]
mod tests;
