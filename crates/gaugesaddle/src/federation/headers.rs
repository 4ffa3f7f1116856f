//! Headers between gateways. Clients' values for them are neither believed nor forwarded.

use hyper::header::HeaderName;

/// The regions that a request came through.
pub const VIA: HeaderName = HeaderName::from_static("region-path");
/// In an answer: what became of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("region-fate");
/// In an answer: the gateway's allocation of the budget is used up; another one may accept the request.
pub const FULL: HeaderName = HeaderName::from_static("region-full");
/// In an answer: how long the gateway worked on the request, in microseconds.
pub const DURATION: HeaderName = HeaderName::from_static("region-took-us");
/// In an answer: the gateway's clock since it accepted the connection, in microseconds. In a request: for that alone.
pub const CLOCK: HeaderName = HeaderName::from_static("region-clock-us");
/// In a request: the latest time by that clock at which it may be forwarded to a backend.
pub const DEADLINE: HeaderName = HeaderName::from_static("region-deadline-us");
