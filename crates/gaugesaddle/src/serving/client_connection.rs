//! The state of a client connection: its phase, its time-outs and its rank for eviction.

use crate::operations::event_counters::Reason;
use gaugesaddle_balancer::{Micros, Time};
use std::cell::Cell;
use tokio::sync::Notify;

/// Maximum time from the connect to the head of the first request: clients that never send one, or never complete it,
/// use a connection that others need.
const FIRST_HEAD_TIMEOUT: Micros = Micros(2_200_000);
/// Maximum time for a body from the arrival of its head, to which [`MICROS_PER_BODY_BYTE`] adds for each received byte.
pub(super) const BODY_TIMEOUT: Micros = Micros(2_000_000);
/// The same for the first request of a connection, from the connect: a client that never completes it must be answered
/// within 3 s.
const FIRST_BODY_TIMEOUT: Micros = Micros(2_700_000);
/// Extension of a body's time for each received byte: 32 kB per second, half the rate of slow clients.
pub(super) const MICROS_PER_BODY_BYTE: f64 = 1e6 / 32e3;
/// A connection that is idle between requests is closed after this time: many are kept open and never used again.
const IDLE_TIMEOUT: Micros = Micros(5_000_000);
/// A connection that was used once and has been idle for this long is likely never used again: it is evicted first.
const SINGLE_USE_IDLE: Micros = Micros(250_000);
/// A connection is evicted before its first request only after this time: bytes that its client sent right after the
/// connect have arrived by then.
const MIN_EVICTION_AGE: Micros = Micros(20_000);
/// A connection that is still open this long after it was requested to close is cut: its client does not read.
const CLOSE_TIMEOUT: Micros = Micros(2_000_000);

/// The phase of a client connection.
///
/// ```text
///          a head              a full request
///   Idle ----------> Reading ---------------> InService
///    ^ |  ^              |                        | |
///    | |  +- invalid: the answer announces the close | its client closes, whatever it sent before:
///    | |                 |                        | |   the request is dropped with its attempts
///    | |                 | requested to close: cut | v
///    | |                 v                        | closed
///    | +---> closed <----+                        |
///    |  requested to close and nothing received   |
///    +--------------------------------------------+----> Closing ----> closed
///      the answer is sent               and was the last     its client has closed, or timed out, or is evicted
/// ```
///
/// If part of a request has arrived when a connection that was used before is requested to close (a partial head, or
/// unread bytes in the socket), the connection waits for that request and closes with its answer. A connection that was
/// never used does so for unread bytes only.
#[derive(Clone, Copy)]
pub(super) enum Phase {
    /// Waiting for the head of a request since this time.
    Idle(Time),
    /// Reading a request's body since this time.
    Reading(Time),
    /// A complete request has had no answer yet.
    InService,
    /// The last answer was sent at this time; the connection lingers until its client has read it.
    Closing(Time),
}

/// The order in which connections are evicted: those whose close does least harm come first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// Used once, a while ago: its client will probably not use it again.
    UsedOnce,
    /// Nothing was received: its client may still send a request, which would be lost.
    NeverUsed,
    /// Used several times: a close costs its client a connect.
    UsedOften,
    /// A partial request: a close interrupts it.
    Reading,
}

/// A client connection.
pub struct ClientConnection {
    opened_at: Time,
    /// The hash of its client's address.
    pub(super) source: u64,
    pub(super) phase: Cell<Phase>,
    /// Number of answered requests.
    pub(super) requests: Cell<u32>,
    /// When it was requested to close, and why.
    pub(super) close_requested: Cell<Option<(Time, Reason)>>,
    pub(super) close: Notify,
}

impl ClientConnection {
    pub(super) fn new(now: Time, source: u64) -> ClientConnection {
        ClientConnection {
            opened_at: now,
            source,
            phase: Cell::new(Phase::Idle(now)),
            requests: Cell::default(),
            close_requested: Cell::default(),
            close: Notify::new(),
        }
    }

    /// Requests it to close, unless that was done less than [`CLOSE_TIMEOUT`] ago. The first reason is kept.
    pub(super) fn request_close(&self, now: Time, reason: Reason) {
        let earlier = self.close_requested.get();
        if earlier.is_none_or(|(at, _)| now - at >= CLOSE_TIMEOUT) {
            self.close_requested.set(Some((now, earlier.map_or(reason, |(_, first)| first))));
            self.close.notify_one();
        }
    }

    /// Why it was requested to close.
    pub(super) fn close_reason(&self) -> Reason {
        self.close_requested.get().map_or(Reason::ClosedByClient, |(_, reason)| reason)
    }

    pub(super) fn is_used(&self) -> bool {
        self.requests.get() > 0
    }

    /// Whether it is idle between two requests and will remain open.
    pub(super) fn is_idle(&self) -> bool {
        self.is_used() && self.close_requested.get().is_none() && matches!(self.phase.get(), Phase::Idle(_))
    }

    /// Its place in the order of eviction; `None`: it must not be evicted.
    pub(super) fn eviction_rank(&self, now: Time) -> Option<(EvictionRank, Time)> {
        if self.close_requested.get().is_some() {
            return None;
        }
        let requests = self.requests.get();
        match self.phase.get() {
            Phase::Idle(since) if requests == 1 && now - since >= SINGLE_USE_IDLE => {
                Some((EvictionRank::UsedOnce, since))
            }
            Phase::Idle(since) if requests > 0 => Some((EvictionRank::UsedOften, since)),
            Phase::Idle(since) if now - since >= MIN_EVICTION_AGE => Some((EvictionRank::NeverUsed, since)),
            Phase::Reading(since) if now - since >= MIN_EVICTION_AGE => Some((EvictionRank::Reading, since)),
            Phase::Closing(since) => Some((EvictionRank::UsedOnce, since)),
            _ => None,
        }
    }

    /// Why it has timed out, if it has.
    pub(super) fn timed_out(&self, now: Time) -> Option<Reason> {
        let Phase::Idle(since) = self.phase.get() else { return None };
        let (timeout, reason) = if self.is_used() {
            (IDLE_TIMEOUT, Reason::ClosedIdle)
        } else {
            (FIRST_HEAD_TIMEOUT, Reason::ClosedRequestTimeout)
        };
        (now - since >= timeout).then_some(reason)
    }

    /// The time by which more of a body is due whose head was received at `received_at` and of which `bytes` have been
    /// received.
    pub(super) fn body_due(&self, received_at: Time, bytes: u64) -> Time {
        let timeout = received_at + BODY_TIMEOUT;
        let start = if self.is_used() { timeout } else { timeout.min(self.opened_at + FIRST_BODY_TIMEOUT) };
        start + Micros((bytes as f64 * MICROS_PER_BODY_BYTE) as u64)
    }
}
