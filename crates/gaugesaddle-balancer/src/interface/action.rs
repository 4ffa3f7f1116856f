//! Actions: what the decision module requests of the host.

use super::units::{AttemptNo, BackendId, Micros, RequestId, TimerToken};

/// What the module requests of the host, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; it may last until the client's deadline.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Where to.
        backend: BackendId,
    },
    /// Final answer: refused, a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
    },
    /// Final answer: failed, a retry may run the request twice.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Hand it to another region, within the last [`Offer`](super::Offer): the host owes its final answer
    /// from here on. No attempt of it is out, and none may have run unless a repeat is free.
    Forward {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Report an [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// The token it is to carry.
        token: TimerToken,
        /// When, from now.
        after: Micros,
    },
    /// Subscribe to changes of the list of backends.
    SubscribeBackends,
    /// Write a line to the log.
    Log(String),
}
