//! Failures guarded against: a response that broke off looks complete, a complete one is cut, or one is resumed whose client
//! would receive bytes of two responses that do not belong together.

use super::*;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

const RESUMABLE: RouteKind = RouteKind::Streaming { resume: true };
const STREAMING: RouteKind = RouteKind::Streaming { resume: false };

/// A tracker of a response with this status and `Content-Type`.
fn tracker(
    route: RouteKind, status: StatusCode, content_type: Option<&'static str>, framing: BodyFraming,
) -> BodyTracker {
    let (mut head, ()) = Response::new(()).into_parts();
    head.status = status;
    if let Some(value) = content_type {
        head.headers.insert(CONTENT_TYPE, HeaderValue::from_static(value));
    }
    BodyTracker::new(route, &head, framing, None)
}

/// A tracker of a successful event stream without a length, of which this text was received.
fn stream(route: RouteKind, text: &'static str) -> BodyTracker {
    let mut tracker = tracker(route, StatusCode::OK, Some("text/event-stream"), BodyFraming::CloseDelimited);
    tracker.push(Bytes::from_static(text.as_bytes()));
    tracker
}

#[test]
fn a_close_delimited_stream_is_complete_only_between_events() {
    for route in [RESUMABLE, STREAMING] {
        assert!(!stream(route, "").is_complete());
        assert!(!stream(route, "id: 1\ndata: x\n").is_complete());
        assert!(stream(route, "id: 1\ndata: x\n\n").is_complete());
        assert!(!stream(route, "id: 1\ndata: x\n\nid: 2").is_complete());
    }
}

#[test]
fn a_self_delimited_body_is_complete_at_its_end() {
    for route in [RESUMABLE, STREAMING, RouteKind::Idempotent, RouteKind::NonIdempotent] {
        let mut tracker =
            tracker(route, StatusCode::OK, Some("text/event-stream"), BodyFraming::SelfDelimited);
        let forwarded = tracker.push(Bytes::from_static(b"id: 1\nda"));
        assert!(tracker.is_complete(), "{route:?}");
        assert_eq!([forwarded, tracker.finish()].concat(), b"id: 1\nda", "{route:?}");
    }
}

#[test]
fn only_successful_event_streams_are_inspected() {
    let is_inspected = |route, status, content_type| {
        let tracker = tracker(route, status, content_type, BodyFraming::CloseDelimited);
        assert_eq!(tracker.position().is_none(), tracker.is_complete());
        tracker.position().is_some()
    };
    for route in [RESUMABLE, STREAMING] {
        assert!(is_inspected(route, StatusCode::OK, Some("text/event-stream")));
        assert!(is_inspected(route, StatusCode::OK, Some("Text/Event-Stream ; charset=utf-8")));
        assert!(is_inspected(route, StatusCode::OK, None));
        assert!(!is_inspected(route, StatusCode::OK, Some("application/json")));
        assert!(!is_inspected(route, StatusCode::INTERNAL_SERVER_ERROR, Some("text/event-stream")));
    }
    for route in [RouteKind::Idempotent, RouteKind::NonIdempotent] {
        assert!(!is_inspected(route, StatusCode::OK, Some("text/event-stream")));
    }
}

/// The events of a compressed stream cannot be found, so its end is taken for the end of the response.
#[test]
fn a_compressed_stream_is_not_inspected() {
    for content_type in [None, Some(HeaderValue::from_static("text/event-stream"))] {
        let (mut head, ()) = Response::new(()).into_parts();
        head.headers.insert(CONTENT_ENCODING, HeaderValue::from_static("gzip"));
        if let Some(value) = content_type {
            head.headers.insert(CONTENT_TYPE, value);
        }
        let mut tracker = BodyTracker::new(RESUMABLE, &head, BodyFraming::CloseDelimited, None);
        let forwarded = tracker.push(Bytes::from_static(b"\x1f\x8b"));
        assert_eq!(forwarded, b"\x1f\x8b".as_slice());
        assert!(tracker.is_complete() && !tracker.is_resumable());
    }
}

#[test]
fn only_streams_on_resumable_routes_are_resumable() {
    assert!(stream(RESUMABLE, "id: 1\ndata: x\n\nid: 2").is_resumable());
    assert!(!stream(STREAMING, "id: 1\ndata: x\n\nid: 2").is_resumable());
    let failure = tracker(RESUMABLE, StatusCode::BAD_GATEWAY, None, BodyFraming::CloseDelimited);
    assert!(!failure.is_resumable());
}

/// The incomplete event of the first backend is discarded, and the response may end with no event left.
#[test]
fn a_resumed_stream_continues_after_the_last_complete_event() {
    let tracker = stream(RESUMABLE, "id: 1\ndata: x\n\nid: 2\nda");
    assert_eq!(tracker.last_event_id(), Some("1"));
    let mut tracker = tracker.resumed(BodyFraming::CloseDelimited);
    assert!(tracker.is_complete(), "the client has all events that there are");
    let forwarded = tracker.push(Bytes::from_static(b"id: 2\ndata: y\n\n"));
    assert_eq!(forwarded, "id: 2\ndata: y\n\n");
    assert_eq!(tracker.last_event_id(), Some("2"));
    assert!(tracker.is_complete() && tracker.finish().is_empty());
}

#[test]
fn a_resumed_stream_without_any_event_is_incomplete() {
    let tracker = stream(RESUMABLE, "id: 1\nda");
    let tracker = tracker.resumed(BodyFraming::CloseDelimited);
    assert_eq!(tracker.last_event_id(), None);
    assert!(!tracker.is_complete());
}
