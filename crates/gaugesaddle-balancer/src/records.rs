//! What a proxy remembers of backends, kinds, classes, requests and attempts. No decisions.

use crate::estimates::{Mean, RelativeLatency};
use crate::interface::*;
use crate::limits::{Limiter, Search, Turn, Unloaded};

/// The estimates of a kind of machine (a speed class).
#[derive(Default)]
pub(crate) struct Kind {
    /// Seconds from dispatch to answer, of served requests only, with the class mix taken out.
    pub latency: Mean,
    /// Sum of its backends' readiness.
    pub ready: f64,
    /// The same of those that this proxy uses, weighted.
    pub own: f64,
    /// Requests per second that one backend could serve.
    pub speed: f64,
    /// Fraction of all proxies' traffic.
    pub traffic_fraction: f64,
    /// Latency of each class on an unloaded backend.
    pub unloaded: Unloaded,
    /// Mean limit of its backends after slow start, for all proxies together.
    pub limit: f64,
    /// The search for the limit of its backends.
    pub search: Search,
    /// Highest list weight of its backends: that of an idle one.
    pub idle_weight: f64,
    /// Fraction of this proxy's traffic.
    pub routed_fraction: f64,
    /// Its usable backends, each with the sum of its pull and those before it.
    pub cumulative: Vec<(BackendId, f64)>,
}

impl Kind {
    /// One of the usable backends by their pull; `part` is uniform in [0, 1).
    pub fn pick(&self, part: f64) -> Option<BackendId> {
        let at = self.cumulative.partition_point(|l| l.1 <= part * self.routed_fraction);
        self.cumulative.get(at).or(self.cumulative.last()).map(|l| l.0)
    }
}

/// The record of a backend.
///
/// ```text
///              errors, time-out, no connection              the term has passed
///  in use ---------------------------------> ejected ------------------------> in use, strikes remain
///   ^  |  no answer for long                                                     |  a served request
///   |  +--------------------> unresponsive --> (any answer) in use               v
///   +------------------------------------------------------------------- strikes are reset
/// ```
#[derive(Default)]
pub(crate) struct BackendRecord {
    pub entry: Backend,
    /// Whether this proxy uses it, and its assignment, where the host gave one.
    pub used: bool,
    pub assigned: Option<BackendAssignment>,
    /// From 0 (send nothing) to 1 (healthy, with its full capacity).
    pub ready: f64,
    /// Its fraction of this proxy's traffic.
    pub traffic_fraction: f64,
    /// How many attempts of this proxy it may have in flight, as of the last solve; this proxy's fraction of
    /// its limit, and the offset that rounds it.
    pub slots: f64,
    pub fraction: f64,
    pub coin: f64,
    /// Attempts of this proxy in flight.
    pub in_flight: u32,
    /// Fraction of errors (exponential moving average).
    pub errors: f64,
    /// Its latency relative to that expected of its kind and the class.
    pub relative: RelativeLatency,
    /// When it last answered anything.
    pub answered: Time,
    /// It has not answered for much longer than usual.
    pub unresponsive: bool,
    /// Ejected until this time at least.
    pub ejected: Option<Time>,
    /// Ejections since the last served request.
    pub strikes: i32,
    /// Connections failed repeatedly: its process is gone, and one at that address later is another.
    pub absent: bool,
    /// Work sent within the fall window, by time.
    pub recent_work: Vec<(Time, f64)>,
    /// Its own limit relative to its kind's.
    pub limiter: Limiter,
    /// Limit of all proxies together, as this proxy knows it.
    pub limit: f64,
}

impl BackendRecord {
    /// Whether it is used and healthy.
    pub fn is_healthy(&self) -> bool {
        let ready = self.entry.state == BackendState::Ready;
        self.used && ready && self.ejected.is_none() && self.strikes == 0 && !self.unresponsive
    }

    /// Its weight among those of its kind, by the assignment.
    pub fn weight(&self) -> f64 {
        self.assigned.map_or(1.0, |u| u.weight)
    }

    /// How many attempts of this proxy it may have in flight where all proxies together have this limit.
    /// Where proxies are so many that each has less than one, rotation decides; else there is at least one.
    pub fn slots_for(&self, limit: f64, one: bool) -> f64 {
        (limit * self.fraction + self.coin).floor().max(f64::from(one))
    }

    /// The same as of now; `many`: the factor of the limit where there are many proxies.
    pub fn slots_now(&self, many: Option<f64>, one: bool) -> f64 {
        many.map_or(self.slots, |factor| self.slots_for(self.limit * factor, one))
    }

    /// To be called before its requests in flight change, and periodically: records them in the search.
    pub fn record_load(&mut self, now: Time, turn: (u64, Turn, bool), share: f64, search: &mut Search) {
        if let Some((turn, area, secs)) = self.limiter.pass(now, turn, self.in_flight) {
            search.record_load(turn, area / share, secs);
        }
    }
}

/// The estimates of a class.
#[derive(Default)]
pub(crate) struct ClassState {
    pub latency: Mean,
    /// Its fraction of the arrivals.
    pub demand: f64,
    /// Fraction of all ended requests that are of this class and were served in time.
    pub in_time: f64,
    /// The retry budget of the class, in attempts.
    pub extra: f64,
}

/// An attempt of a request.
pub(crate) struct AttemptRecord {
    pub backend: Backend,
    pub sent_at: Time,
    /// It is in flight.
    pub in_flight: bool,
    /// Its outcome proves that it did not run.
    pub never_ran: bool,
}

impl AttemptRecord {
    /// An attempt that is sent now.
    pub fn sent(now: Time, backend: &Backend) -> AttemptRecord {
        AttemptRecord { backend: backend.clone(), sent_at: now, in_flight: true, never_ran: false }
    }
}

/// An attempt in flight.
#[derive(Clone, Copy)]
pub(crate) struct InFlightAttempt {
    pub backend: BackendId,
    pub class: usize,
    pub sent_at: Time,
    /// It has been counted as late.
    pub late: bool,
    /// Its backend had no other request in flight when it was sent.
    pub alone: bool,
    /// It is among its kind's first of the class.
    pub first: bool,
}

/// A request without a final answer.
pub(crate) struct Request {
    pub class: usize,
    pub arrived_at: Time,
    pub objective_at: Time,
    pub deadline: Time,
    /// Its value relative to a first attempt within quota.
    pub value: f64,
    pub streaming: bool,
    pub sent: Vec<AttemptRecord>,
}

impl Request {
    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.sent.iter().any(|s| s.in_flight)
    }
}

/// The fraction of its capacity that a backend in slow start has, if it needs the fraction `duration` of
/// the longest one.
pub(crate) fn capacity_fraction(cfg: &Config, now: Time, entry: &Backend, duration: f64) -> f64 {
    let duration_s = (cfg.slow_start.secs() * duration).max(1e-6);
    let age = entry.booted.map_or(f64::MAX, |boot| (now - boot).secs() / duration_s);
    cfg.initial_capacity + (1.0 - cfg.initial_capacity) * age.min(1.0)
}

/// The next subscription to the list of backends.
#[derive(Default)]
pub(crate) struct Subscription {
    /// When the host is asked to subscribe; `None` while a subscription stands or none is needed.
    pub retry_at: Option<Time>,
    /// The last wait before a retry, in seconds.
    pub wait_s: f64,
}
