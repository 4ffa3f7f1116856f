//! Why client connections were closed and requests were not served: one counter for each reason, logged at most once a
//! second each.

use gaugesaddle_balancer::{Micros, Time};
use std::cell::{Cell, RefCell};

/// Minimum time between two log lines for the same reason.
const LOG_INTERVAL: Micros = Micros(1_000_000);

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// What is counted. Each closed connection and each request without a served answer has exactly one.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }
        const TEXTS: &[&str] = &[$($text),*];
    };
}

impl Reason {
    /// Whether a connection was closed so that others can be served: without waiting for its client.
    pub fn frees_slot(self) -> bool {
        use Reason::*;
        matches!(self, ClosedIdle | ClosedSurplusIdle | EvictedIdle | ClosedRetryStorm)
    }
}

reasons! {
    /// Its client closed it, or asked for it to be closed.
    ClosedByClient = "closed: by its client";
    /// Its bytes are no HTTP.
    ClosedMalformed = "closed: can't be read";
    /// No request was received in time.
    ClosedRequestTimeout = "closed: no request in time";
    /// It was idle for too long.
    ClosedIdle = "closed: idle";
    /// More connections were idle than are kept; no limit was reached yet.
    ClosedSurplusIdle = "closed: too many idle";
    /// All connections were in use: it was idle after a request.
    EvictedIdle = "closed: for room, idle";
    /// All connections were in use: it had received nothing.
    EvictedUnused = "closed: for room, no request yet";
    /// All connections were in use: its request was incomplete.
    EvictedReading = "closed: for room, half a request";
    /// In a retry storm its request was rejected and connections are scarce.
    ClosedRetryStorm = "closed: refused in a storm";
    /// A request on it was invalid.
    ClosedInvalidRequest = "closed: after a wrong request";
    /// The proxy is ending.
    ClosedStopping = "closed: the proxy ends";
    /// The operators drain the proxy.
    ClosedDraining = "closed: the proxy drains";
    /// Its client disconnected before its answer.
    ClosedClientDisconnected = "closed: left before its answer";
    /// The accept itself failed.
    AcceptFailed = "accept: failed";
    /// 503: more requests open than the settings allow.
    OpenCapRejection = "refused: open_cap";
    /// 503: by the balancer.
    BalancerRejection = "refused: by the module";
    /// 503: the bodies of open requests use all their memory.
    BodyMemoryFull = "refused: memory of bodies";
    /// 502: by the balancer, or its deadline had passed.
    Failed = "failed";
    /// 400: the request's head.
    BadHead = "wrong: form";
    /// 411 or 413: the framing of the body.
    BadFraming = "wrong: framing";
    /// 408 or 400: the body is incomplete.
    BadBody = "wrong: body not whole";
    /// 409: the id of an open request.
    DuplicateId = "wrong: id of an open request";
}

#[derive(Clone, Copy, Default)]
struct Counter {
    count: u64,
    /// How many of these were logged, and when.
    logged: (u64, Time),
}

/// The counters.
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

    /// All counts, with the names of their reasons.
    pub fn all(&self) -> Vec<(String, u64)> {
        self.rows.borrow().iter().zip(TEXTS).map(|(row, text)| (text.to_string(), row.count)).collect()
    }

    /// What is due to be told: every reason that has counted since and was not told within the last second.
    pub fn take_line(&self, now: Time) -> Option<String> {
        if !self.has_unlogged.get() {
            return None;
        }
        let (mut parts, mut left) = (Vec::new(), false);
        for (row, text) in self.rows.borrow_mut().iter_mut().zip(TEXTS) {
            let more = row.count - row.logged.0;
            if more == 0 {
                continue;
            }
            if row.logged.0 > 0 && now - row.logged.1 < LOG_INTERVAL {
                left = true;
                continue;
            }
            row.logged = (row.count, now);
            parts.push(format!("{text} +{more} ({})", row.count));
        }
        self.has_unlogged.set(left);
        (!parts.is_empty()).then(|| parts.join("; "))
    }
}

#[cfg(test)]
mod tests;
