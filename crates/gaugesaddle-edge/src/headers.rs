//! Names of the headers exchanged between clients, proxies and backends.

use hyper::header::{HeaderMap, HeaderName};

/// ID of a request; backends return it in the response.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Time remaining until a request's deadline, in ms.
pub const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
/// A tenant's API key; never sent to backends.
pub const API_KEY: HeaderName = HeaderName::from_static("api-key");
/// The tenant's name, for backends.
pub const TENANT: HeaderName = HeaderName::from_static("tenant");
/// ID of the backend incarnation that a request is intended for.
pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("expected-instance");
/// Sent by a backend if it has not executed the request and will not.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Token counts of a request: `PROMPT,OUTPUT`.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
/// IDs and lengths of a prompt's blocks: `ID:TOKENS`, separated by commas.
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("prefix-hash");
/// ID of the last event of a stream that the client has received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Priority of a request at the backend, 0 is the most urgent.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Carries the time for which a backend keeps an idle connection open.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A header's value as trimmed text; `None` if it is missing or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}
