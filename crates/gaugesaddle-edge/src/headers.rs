//! Names of the headers that clients, proxies and backends exchange.

use hyper::header::{HeaderMap, HeaderName};

/// A request's identity; backends send it back.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Time that is left for a request, in ms.
pub const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
/// A tenant's key; never sent to backends.
pub const API_KEY: HeaderName = HeaderName::from_static("api-key");
/// The tenant's name, for backends.
pub const TENANT: HeaderName = HeaderName::from_static("tenant");
/// The incarnation of the backend that a request is meant for.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// A backend's statement that a request has not run and never will.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Tokens of a request.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
/// Hashes of the shared parts of a prompt.
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("prefix-hash");
/// The last event of a stream that the client has.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Urgency for backends, 0 most urgent.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// How long a backend keeps an idle connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A header's value as text, trimmed; `None` where it is missing or not ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}
