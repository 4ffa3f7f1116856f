//! Removes the headers that a proxy must not forward, and reads the media type of a body.

use hyper::header::{
    HeaderMap, HeaderName, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Connection-specific header without a constant in `hyper`.
const KEEP_ALIVE: &str = "keep-alive";
/// The media type of server-sent events (HTML standard, section 9.2).
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// The client's `Expect` is answered by the proxy itself, so it is not forwarded.
const EXPECT: &str = "expect";

/// Removes connection-specific headers (RFC 9110, section 7.6.1), including those listed in `Connection`.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let connection_values: Vec<_> = headers.get_all(CONNECTION).iter().cloned().collect();
    for value in connection_values {
        for name in value.to_str().unwrap_or("").split(',') {
            if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
                headers.remove(name);
            }
        }
    }
    for name in [CONNECTION, TRANSFER_ENCODING, CONTENT_LENGTH, TE, TRAILER, UPGRADE] {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(EXPECT);
}

/// Whether the headers state that the body is a stream of server-sent events, which can be read without decoding it.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(content_type) = headers.get(CONTENT_TYPE) else { return false };
    if headers.contains_key(CONTENT_ENCODING) {
        return false;
    }
    let media_type = content_type.as_bytes().split(|byte| *byte == b';').next().unwrap_or_default();
    media_type.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM)
}
