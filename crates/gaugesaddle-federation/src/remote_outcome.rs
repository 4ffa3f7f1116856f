//! What became of a request in another region, and what its client may be answered then.

use gaugesaddle_balancer::{Effect, KeyScope, Outcome};

/// What a gateway reports of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteOutcome {
    /// A backend there served it.
    Executed,
    /// No backend there has executed it, nor will.
    NotExecuted,
    /// Some backend there may have executed it, or may yet.
    Indeterminate,
}

/// Whether any of a request may have been sent when its connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transmission {
    /// Nothing was handed over.
    NotStarted,
    /// Some of it may have been received.
    Started,
}

impl Transmission {
    /// [`Transmission::Started`] where some of the request may have been sent.
    pub fn started_if(started: bool) -> Transmission {
        if started {
            Transmission::Started
        } else {
            Transmission::NotStarted
        }
    }
}

impl RemoteOutcome {
    /// Its value in the header `Region-Fate`.
    pub fn header_value(self) -> &'static str {
        match self {
            RemoteOutcome::Executed => "ran",
            RemoteOutcome::NotExecuted => "not-run",
            RemoteOutcome::Indeterminate => "may-have-run",
        }
    }

    /// Reads the header `Region-Fate` of a gateway's answer. Without a known value the outcome is indeterminate: nothing
    /// else is safe.
    pub fn from_header(value: Option<&[u8]>) -> RemoteOutcome {
        match value {
            Some(b"ran") => RemoteOutcome::Executed,
            Some(b"not-run") => RemoteOutcome::NotExecuted,
            _ => RemoteOutcome::Indeterminate,
        }
    }

    /// The outcome of a request whose connection failed before an answer came.
    pub fn of_connection_failure(transmission: Transmission) -> RemoteOutcome {
        match transmission {
            Transmission::Started => RemoteOutcome::Indeterminate,
            Transmission::NotStarted => RemoteOutcome::NotExecuted,
        }
    }

    /// As the outcome of an attempt in the balancer.
    pub fn attempt_outcome(self) -> Outcome {
        match self {
            RemoteOutcome::Executed => Outcome::Ok,
            RemoteOutcome::NotExecuted => Outcome::Full,
            RemoteOutcome::Indeterminate => Outcome::Reset,
        }
    }
}

/// The final answer to a client whose request another region did not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// Rejected: a retry is harmless.
    Rejected,
    /// Failed: nothing is guaranteed.
    Failed,
}

/// The answer to a client whose request had this outcome elsewhere. The request was forwarded only because it was known
/// not to have been executed here, or is free to repeat. A keyed one that may have been executed there is failed, since no
/// zone here would recognize its retry.
pub fn client_answer(effect: Effect, outcome: Outcome) -> ClientAnswer {
    match effect {
        Effect::Free => ClientAnswer::Rejected,
        Effect::Keyed(..) | Effect::Unsafe if outcome.never_ran() => ClientAnswer::Rejected,
        Effect::Keyed(..) | Effect::Unsafe => ClientAnswer::Failed,
    }
}

/// What a gateway reports of a request that its own balancer rejected. A rejection guarantees that a retry is harmless
/// among the backends here; for a key that only they know, that is no guarantee for another region.
pub fn outcome_of_rejection(effect: Effect) -> RemoteOutcome {
    match effect {
        Effect::Keyed(KeyScope::All, _) => RemoteOutcome::Indeterminate,
        _ => RemoteOutcome::NotExecuted,
    }
}

#[cfg(test)]
mod tests;
