//! Whether the end of an answer's body is the end of the answer.
//!
//! If only the end of the connection ends the body, a truncated answer looks complete: the connections of a process that is
//! killed end in the ordinary way. Such an answer counts as complete only if its backend announced that it closes the
//! connection, and, where it is a stream of events, if it does not end inside one.

use gaugesaddle_http_connection::{is_event_stream, BodyFraming};
use gaugesaddle_inference::EventBoundary;
use hyper::body::Body;
use hyper::header::HeaderName;
use hyper::http::response::Parts;
use hyper::HeaderMap;

/// The last event that a client has of a stream that it resumes (HTML standard, section 9.2.4).
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Tracks the body of an answer as it is received.
pub struct CompletenessCheck {
    framing: BodyFraming,
    announces_close: bool,
    /// The position in a close-delimited event stream; `None` for other bodies, whose content decides nothing.
    events: Option<EventBoundary>,
    /// Whether the client has events of the same stream already, so that none may be left.
    has_earlier_events: bool,
}

impl CompletenessCheck {
    /// Tracks the body of an answer of which the head was received. `has_earlier_events`: the request has a
    /// [`LAST_EVENT_ID`].
    pub fn new(head: &Parts, body: &impl Body, has_earlier_events: bool) -> CompletenessCheck {
        let framing = BodyFraming::of_response(&head.headers, body);
        let is_inspected = framing == BodyFraming::CloseDelimited && is_event_stream(&head.headers);
        CompletenessCheck {
            framing,
            announces_close: announces_close(&head.headers),
            events: is_inspected.then(EventBoundary::default),
            has_earlier_events,
        }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if let Some(events) = &mut self.events {
            events.advance(bytes);
        }
    }

    /// Whether the end of the body can be detected at all, so that the answer may be forwarded before its end.
    pub fn is_end_detectable(&self) -> bool {
        self.framing == BodyFraming::SelfDelimited || self.announces_close
    }

    /// Whether the answer is complete, now that its body has ended without an error.
    pub fn is_complete(&self) -> bool {
        if self.framing == BodyFraming::SelfDelimited {
            return true;
        }
        let can_be_end = |events: &EventBoundary| events.position().can_be_end(self.has_earlier_events);
        self.announces_close && self.events.as_ref().is_none_or(can_be_end)
    }
}

/// Whether an answer announces that its connection ends with it (RFC 9112, section 9.6).
fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(hyper::header::CONNECTION);
    let mut tokens = values.iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}
