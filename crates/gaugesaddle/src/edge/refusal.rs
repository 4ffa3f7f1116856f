//! The answers that the system gives itself.

use super::relay::Outgoing;
use bytes::Bytes;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Why a request gets no backend's answer. Only some of these promise that it has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// No configuration is known yet.
    NotConfigured,
    /// No route for host and path.
    NoRoute,
    /// No key, or one that is not known.
    NoKey,
    /// The tenant is over its quota.
    OverQuota,
    /// The body is longer than the configuration allows.
    TooLarge,
    /// The client broke its body off, or took too long for it.
    Unread,
    /// No backend could take it; it has not run.
    Unavailable,
    /// Its key may have been taken away, and this proxy cannot tell; it has not run.
    Unproven,
    /// A backend may have run it, and gave no answer.
    Broken,
    /// Its time is over, and it may have run.
    TimedOut,
    /// Its time is over before it was sent.
    Late,
}

/// When to come back to a process that has just started, in seconds: an election, a configuration, and the backends'
/// next heartbeats are awaited.
const AT_START: &str = "1.2";
/// When to come back, in seconds.
const SOON: &str = "0.2";
/// When to come back after a quota was used up, in seconds.
const LATER: &str = "0.6";

impl Refusal {
    /// The status that says it.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NotConfigured | Refusal::Unavailable | Refusal::Unproven | Refusal::Late => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::NoKey => StatusCode::UNAUTHORIZED,
            Refusal::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Unread => StatusCode::REQUEST_TIMEOUT,
            Refusal::Broken => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When its client should come back, in seconds.
    fn retry_after(self) -> Option<&'static str> {
        match self {
            Refusal::NotConfigured => Some(AT_START),
            Refusal::Unavailable | Refusal::Unproven | Refusal::Late => Some(SOON),
            Refusal::OverQuota => Some(LATER),
            _ => None,
        }
    }

    /// The answer.
    pub fn answer(self) -> Response<Outgoing> {
        let mut answer = Response::new(Outgoing::Whole(Some(Bytes::new())));
        *answer.status_mut() = self.status();
        if let Some(after) = self.retry_after() {
            answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(after));
        }
        if self == Refusal::Unproven {
            // On another connection it may reach a proxy that is in touch.
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}
