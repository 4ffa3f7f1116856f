//! The responses that the proxy gives itself: why, with which status, and when to retry.

use hyper::StatusCode;

/// Why a request gets no backend's response. Only some of these promise that it has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// No configuration is known yet.
    NotConfigured,
    /// No route for host and path.
    NoRoute,
    /// No key, or an unknown one.
    InvalidKey,
    /// The tenant is over its quota.
    OverQuota,
    /// The body is longer than the configuration allows.
    BodyTooLarge,
    /// The client broke its body off, or took too long to send it.
    BodyIncomplete,
    /// No backend could take it; it has not run.
    Unavailable,
    /// Its key may have been revoked, and this proxy cannot tell; it has not run.
    KeyUnproven,
    /// A backend may have run it, and gave no response.
    UpstreamFailed,
    /// Its deadline has passed, and it may have run.
    TimedOut,
    /// Its deadline passed before it was sent.
    ExpiredUnsent,
}

/// `Retry-After` of a process that has just started, in seconds: an election, a configuration and the backends' next
/// heartbeats are awaited.
const RETRY_AFTER_START: &str = "1.2";
/// `Retry-After` of a request that could not be served now, in seconds.
const RETRY_AFTER_UNAVAILABLE: &str = "0.2";
/// `Retry-After` once a quota is used up, in seconds.
const RETRY_AFTER_QUOTA: &str = "0.6";

impl Rejection {
    /// The response's status. 429, 503 and 408 promise that the request has not run.
    pub fn status(self) -> StatusCode {
        match self {
            Rejection::NotConfigured
            | Rejection::Unavailable
            | Rejection::KeyUnproven
            | Rejection::ExpiredUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::InvalidKey => StatusCode::UNAUTHORIZED,
            Rejection::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Rejection::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Rejection::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Rejection::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The value of `Retry-After`, in seconds, where a retry may help.
    pub fn retry_after(self) -> Option<&'static str> {
        match self {
            Rejection::NotConfigured => Some(RETRY_AFTER_START),
            Rejection::Unavailable | Rejection::KeyUnproven | Rejection::ExpiredUnsent => {
                Some(RETRY_AFTER_UNAVAILABLE)
            }
            Rejection::OverQuota => Some(RETRY_AFTER_QUOTA),
            _ => None,
        }
    }

    /// Whether the client's connection is closed: on another one it may reach a proxy that is in contact with the control
    /// plane.
    pub fn closes_connection(self) -> bool {
        self == Rejection::KeyUnproven
    }
}
