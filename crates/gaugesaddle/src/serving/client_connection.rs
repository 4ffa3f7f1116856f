//! The state of a client connection: what it is doing, when it has timed out, and when it gives way to others.

use crate::operations::event_counters::Reason;
use gaugesaddle_balancer::{Micros, Time};
use std::cell::Cell;
use tokio::sync::Notify;

/// Time from the connect to the head of the first request: clients that never send one, or never complete it, use a
/// connection that others need.
const FIRST_HEAD_TIMEOUT: Micros = Micros(2_200_000);
/// Maximum time without progress of a body, however fast it came before.
pub(super) const BODY_TIMEOUT: Micros = Micros(2_000_000);
/// The same for the first request of a connection, from the connect: a client that never completes it is owed an answer
/// within 3 s.
const FIRST_BODY_TIMEOUT: Micros = Micros(2_700_000);
/// Each byte of a body that was received extends its time by this much: 32 kB per second, half the rate of slow clients.
pub(super) const MICROS_PER_BODY_BYTE: f64 = 1e6 / 32e3;
/// A connection that is idle between requests is closed after this time: many are kept and never used again.
const IDLE_TIMEOUT: Micros = Micros(5_000_000);
/// A connection that was used once and has been idle for this long is likely never used again: it is evicted first.
const SINGLE_USE_IDLE: Micros = Micros(250_000);
/// A connection is evicted before its first request only after this time: what its client sent right after the connect
/// has arrived by then.
const MIN_EVICTION_AGE: Micros = Micros(20_000);
/// A connection that was requested to close and has not done so is cut after this time: its client does not read.
const CLOSE_TIMEOUT: Micros = Micros(2_000_000);

/// What a client connection is doing.
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
/// When it is requested to close with something under way (a partial head, or bytes unread by the system), a connection that
/// was used before waits for that request and closes with its answer.
#[derive(Clone, Copy)]
pub(super) enum Phase {
    /// Waiting for the head of a request since then.
    Idle(Time),
    /// Reading a request's body since then.
    Reading(Time),
    /// A full request is owed an answer.
    InService,
    /// The last answer was sent then: it lingers until its client has read that.
    Closing(Time),
}

/// The order in which connections are evicted: first where a close does least harm.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// Used once, a while ago: its client will hardly use it again.
    UsedOnce,
    /// Nothing was received: its client may yet send a request, which would be lost.
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

    /// Requests it to close, unless that was done a moment ago. The first reason stands.
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

    /// When more of a body is due whose head was received at `received_at`, and `bytes` of which have been received.
    pub(super) fn body_due(&self, received_at: Time, bytes: u64) -> Time {
        let timeout = received_at + BODY_TIMEOUT;
        let start = if self.is_used() { timeout } else { timeout.min(self.opened_at + FIRST_BODY_TIMEOUT) };
        start + Micros((bytes as f64 * MICROS_PER_BODY_BYTE) as u64)
    }
}
