//! The outcome of a request in another region, and the answer to the client that it permits.

use gaugesaddle_balancer::{Effect, KeyScope, Outcome};

/// The outcome of a request as reported by a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteOutcome {
    /// A backend of the other region served the request.
    Executed,
    /// No backend of the other region has executed the request or will execute it.
    NotExecuted,
    /// A backend of the other region may have executed the request or may still execute it.
    Indeterminate,
}

/// Whether any part of a request may have been sent before its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transmission {
    /// No part of the request was sent.
    NotStarted,
    /// The other side may have received part of the request.
    Started,
}

impl Transmission {
    /// [`Transmission::Started`] if `started`, that is, if any part of the request may have been sent.
    pub fn started_if(started: bool) -> Transmission {
        if started {
            Transmission::Started
        } else {
            Transmission::NotStarted
        }
    }
}

impl RemoteOutcome {
    /// The value of the header `Region-Fate`.
    pub fn header_value(self) -> &'static str {
        match self {
            RemoteOutcome::Executed => "ran",
            RemoteOutcome::NotExecuted => "not-run",
            RemoteOutcome::Indeterminate => "may-have-run",
        }
    }

    /// Parses the header `Region-Fate` of a gateway's answer. A missing or unknown value means
    /// [`RemoteOutcome::Indeterminate`], the only safe assumption.
    pub fn from_header(value: Option<&[u8]>) -> RemoteOutcome {
        match value {
            Some(b"ran") => RemoteOutcome::Executed,
            Some(b"not-run") => RemoteOutcome::NotExecuted,
            _ => RemoteOutcome::Indeterminate,
        }
    }

    /// The outcome of a request whose connection failed before an answer was received.
    pub fn of_connection_failure(transmission: Transmission) -> RemoteOutcome {
        match transmission {
            Transmission::Started => RemoteOutcome::Indeterminate,
            Transmission::NotStarted => RemoteOutcome::NotExecuted,
        }
    }

    /// The corresponding outcome of an attempt in the balancer.
    pub fn attempt_outcome(self) -> Outcome {
        match self {
            RemoteOutcome::Executed => Outcome::Ok,
            RemoteOutcome::NotExecuted => Outcome::Full,
            RemoteOutcome::Indeterminate => Outcome::Reset,
        }
    }
}

/// The final answer to a client whose request was not served by another region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The request was rejected: a retry is harmless.
    Rejected,
    /// The request failed: it may have been executed.
    Failed,
}

/// The answer to a client whose request had the given outcome in another region. Only requests that were not executed in
/// the local region, or that may be repeated freely, are forwarded. A request with an idempotency key that may have been
/// executed in the other region is answered as failed, because no local zone would recognize its retry.
pub fn client_answer(effect: Effect, outcome: Outcome) -> ClientAnswer {
    match effect {
        Effect::Free => ClientAnswer::Rejected,
        Effect::Keyed(..) | Effect::Unsafe if outcome.never_ran() => ClientAnswer::Rejected,
        Effect::Keyed(..) | Effect::Unsafe => ClientAnswer::Failed,
    }
}

/// The outcome that a gateway reports for a request that its own balancer rejected. A rejection guarantees that a retry is
/// harmless among the gateway's backends. For an idempotency key that only those backends share, this does not extend to
/// another region.
pub fn outcome_of_rejection(effect: Effect) -> RemoteOutcome {
    match effect {
        Effect::Keyed(KeyScope::All, _) => RemoteOutcome::Indeterminate,
        _ => RemoteOutcome::NotExecuted,
    }
}

#[cfg(test)]
mod tests;
