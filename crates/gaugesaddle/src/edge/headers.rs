//! Names of the headers that clients, the system and backends speak.

use hyper::header::{HeaderMap, HeaderName};

pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
pub const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
pub const API_KEY: HeaderName = HeaderName::from_static("api-key");
pub const TENANT: HeaderName = HeaderName::from_static("tenant");
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("prefix-hash");
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A header's text, where it is one.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}
