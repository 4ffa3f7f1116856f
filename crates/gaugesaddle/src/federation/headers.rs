//! Headers between gateways. Values sent by clients are ignored and not forwarded.

use hyper::header::HeaderName;

/// In a request: the regions that it has passed through.
pub const VIA: HeaderName = HeaderName::from_static("region-path");
/// In a response: the outcome of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("region-fate");
/// In a response: the gateway's allocation of the budget is used up; another gateway may accept the request.
pub const FULL: HeaderName = HeaderName::from_static("region-full");
/// In a response: time that the gateway spent on the request, in microseconds.
pub const DURATION: HeaderName = HeaderName::from_static("region-took-us");
/// In a response: the gateway's clock, in microseconds since it accepted the connection. In an `OPTIONS` request: asks for
/// a reading of that clock only.
pub const CLOCK: HeaderName = HeaderName::from_static("region-clock-us");
/// In a request: the latest time by that clock at which the request may be forwarded to a backend.
pub const DEADLINE: HeaderName = HeaderName::from_static("region-deadline-us");
