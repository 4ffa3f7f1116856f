//! Counters of closed client connections and unserved requests: one for each reason, each logged at most once a second.

use gaugesaddle_balancer::{Micros, Time};
use std::cell::{Cell, RefCell};

/// Minimum time between two log lines for the same reason.
const LOG_INTERVAL: Micros = Micros(1_000_000);

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// Why a connection was closed or a request was not served. Each such event has exactly one reason.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }
        const TEXTS: &[&str] = &[$($text),*];
    };
}

impl Reason {
    /// Whether a connection is closed to free its slot for others. It is closed without waiting for its client then.
    pub fn frees_slot(self) -> bool {
        use Reason::*;
        matches!(self, ClosedIdle | ClosedSurplusIdle | EvictedIdle | ClosedRetryStorm)
    }
}

reasons! {
    /// The client closed the connection or requested its closure.
    ClosedByClient = "closed: by its client";
    /// The received bytes are not HTTP.
    ClosedMalformed = "closed: can't be read";
    /// No request was received within the timeout.
    ClosedRequestTimeout = "closed: no request in time";
    /// The connection was idle for too long.
    ClosedIdle = "closed: idle";
    /// The limit of idle connections was exceeded, while the limit of all connections was not reached.
    ClosedSurplusIdle = "closed: too many idle";
    /// Evicted because all connections were in use: idle after a request.
    EvictedIdle = "closed: for room, idle";
    /// Evicted because all connections were in use: no request received yet.
    EvictedUnused = "closed: for room, no request yet";
    /// Evicted because all connections were in use: its request was incomplete.
    EvictedReading = "closed: for room, half a request";
    /// A request was rejected during a retry storm while connections were scarce.
    ClosedRetryStorm = "closed: refused in a storm";
    /// A request on the connection was invalid.
    ClosedInvalidRequest = "closed: after a wrong request";
    /// The proxy is shutting down.
    ClosedStopping = "closed: the proxy ends";
    /// The operators drain the proxy.
    ClosedDraining = "closed: the proxy drains";
    /// The client disconnected before its response.
    ClosedClientDisconnected = "closed: left before its answer";
    /// Accepting a connection failed.
    AcceptFailed = "accept: failed";
    /// 503: more requests were open than the settings allow.
    OpenCapRejection = "refused: open_cap";
    /// 503: rejected by the balancer.
    BalancerRejection = "refused: by the module";
    /// 503: the bodies of open requests use all memory reserved for bodies.
    BodyMemoryFull = "refused: memory of bodies";
    /// 502: failed by the balancer, or the deadline had passed.
    Failed = "failed";
    /// 400: the head of the request is invalid.
    BadHead = "wrong: form";
    /// 411 or 413: the body has no length or is too large.
    BadFraming = "wrong: framing";
    /// 408 or 400: the body is incomplete.
    BadBody = "wrong: body not whole";
    /// 409: the request has the id of an open request.
    DuplicateId = "wrong: id of an open request";
}

#[derive(Clone, Copy, Default)]
struct Counter {
    count: u64,
    /// The count at the last log line, and the time of that line.
    logged: (u64, Time),
}

/// One counter for each [`Reason`].
pub struct EventCounters {
    rows: RefCell<[Counter; TEXTS.len()]>,
    has_unlogged: Cell<bool>,
}

impl EventCounters {
    pub fn new() -> EventCounters {
        EventCounters {
            rows: RefCell::new([Counter::default(); TEXTS.len()]),
            has_unlogged: Cell::new(false),
        }
    }

    pub fn count(&self, reason: Reason) {
        self.rows.borrow_mut()[reason as usize].count += 1;
        self.has_unlogged.set(true);
    }

    #[cfg(test)]
    pub fn of(&self, reason: Reason) -> u64 {
        self.rows.borrow()[reason as usize].count
    }

    /// Returns all counts with the names of their reasons.
    pub fn all(&self) -> Vec<(String, u64)> {
        self.rows.borrow().iter().zip(TEXTS).map(|(row, text)| (text.to_string(), row.count)).collect()
    }

    /// Returns the log line that is due: each reason that was counted since its last line, if that was at least a second
    /// ago.
    pub fn take_line(&self, now: Time) -> Option<String> {
        if !self.has_unlogged.get() {
            return None;
        }
        let (mut parts, mut is_postponed) = (Vec::new(), false);
        for (row, text) in self.rows.borrow_mut().iter_mut().zip(TEXTS) {
            let increase = row.count - row.logged.0;
            if increase == 0 {
                continue;
            }
            if row.logged.0 > 0 && now - row.logged.1 < LOG_INTERVAL {
                is_postponed = true;
                continue;
            }
            row.logged = (row.count, now);
            parts.push(format!("{text} +{increase} ({})", row.count));
        }
        self.has_unlogged.set(is_postponed);
        (!parts.is_empty()).then(|| parts.join("; "))
    }
}

#[cfg(test)]
mod tests;
