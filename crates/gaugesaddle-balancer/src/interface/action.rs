//! Actions that the balancer requests of the host.

use super::units::{AttemptNo, BackendId, Micros, RequestId, TimerToken};

/// An action that the host carries out, in the order of the actions.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt, which may last until the client's deadline.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The destination.
        backend: BackendId,
    },
    /// Final answer: the request is refused and a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
    },
    /// Final answer: the request failed and a retry may run it twice.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Forward the request to another region, within the last [`Offer`](super::Offer). From then on the host is
    /// responsible for its final answer. No attempt is in flight, and none may have run unless the request is
    /// idempotent.
    Forward {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Report an [`Event::Timer`](super::Event::Timer) after a delay.
    SetTimer {
        /// The token of the event.
        token: TimerToken,
        /// The delay from now.
        after: Micros,
    },
    /// Subscribe to changes of the list of backends.
    SubscribeBackends,
    /// Write a line to the log.
    Log(String),
}
