//! Records of backends, kinds, classes, requests and attempts.

use crate::estimates::{Mean, RelativeLatency};
use crate::interface::*;
use crate::limits::{LimitSearch, Limiter, Turn, UnloadedLatencies};

/// The estimates of a kind of machine (a speed class).
#[derive(Default)]
pub(crate) struct Kind {
    /// Seconds from dispatch to answer of served requests, corrected for the mix of classes.
    pub latency: Mean,
    /// Sum of the readiness of its backends.
    pub readiness: f64,
    /// Weighted sum of the readiness of the backends that this proxy uses.
    pub own_ready: f64,
    /// Requests per second that one backend can serve.
    pub speed: f64,
    /// Fraction of the traffic of all proxies.
    pub traffic_fraction: f64,
    /// Latency of each class on an unloaded backend.
    pub unloaded: UnloadedLatencies,
    /// Mean limit of its backends that have finished slow start, for all proxies together.
    pub limit: f64,
    /// The search for the limit of its backends.
    pub search: LimitSearch,
    /// Highest list weight of its backends: that of an idle one.
    pub idle_weight: f64,
    /// Fraction of this proxy's traffic.
    pub routed_fraction: f64,
    /// Its usable backends, each with the cumulative sum of the traffic fractions up to it.
    pub cumulative: Vec<(BackendId, f64)>,
}

impl Kind {
    /// Picks a usable backend by traffic fraction; `point` is uniform in [0, 1).
    pub fn pick(&self, point: f64) -> Option<BackendId> {
        let at = self.cumulative.partition_point(|l| l.1 <= point * self.routed_fraction);
        self.cumulative.get(at).or(self.cumulative.last()).map(|l| l.0)
    }
}

/// The record of a backend.
///
/// ```text
///            errors, time-out, no connection             ejection time has passed
///  in use -------------------------------> ejected ---------------------------> in use, ejections counted
///   ^  |  no answer for long                                                      |  a served request
///   |  +--------------------> unresponsive --> (any answer) in use                v
///   +------------------------------------------------------------------- ejection count is reset
/// ```
#[derive(Default)]
pub(crate) struct BackendRecord {
    pub entry: Backend,
    /// Whether this proxy uses it, and its assignment, if the host has reported one.
    pub used: bool,
    pub assigned: Option<BackendAssignment>,
    /// From 0 (no requests are sent) to 1 (healthy, with its full capacity).
    pub readiness: f64,
    /// Its fraction of this proxy's traffic.
    pub traffic_fraction: f64,
    /// Maximum attempts of this proxy in flight, as of the last solve; this proxy's fraction of the limit, and the
    /// offset that is added before the product is rounded down.
    pub slots: f64,
    pub limit_fraction: f64,
    pub rounding_offset: f64,
    /// Attempts of this proxy in flight.
    pub in_flight: u32,
    /// Fraction of errors (exponential moving average).
    pub errors: f64,
    /// Its latency relative to the expected latency of its kind and the class.
    pub relative: RelativeLatency,
    /// Time of its last answer of any kind.
    pub answered: Time,
    /// Whether it has not answered for much longer than usual.
    pub unresponsive: bool,
    /// Minimum end of its ejection, if it is ejected.
    pub ejected: Option<Time>,
    /// Number of ejections since the last served request.
    pub ejections: i32,
    /// Whether connections failed repeatedly: its process is assumed to have ended, and a later process at that
    /// address to be another one.
    pub absent: bool,
    /// Work sent within the fall window, with its time.
    pub recent_work: Vec<(Time, f64)>,
    /// Its limit relative to the limit of its kind.
    pub limiter: Limiter,
    /// Limit of all proxies together, as this proxy estimates it.
    pub limit: f64,
}

impl BackendRecord {
    /// Whether it is used and healthy.
    pub fn is_healthy(&self) -> bool {
        let ready = self.entry.state == BackendState::Ready;
        self.used && ready && self.ejected.is_none() && self.ejections == 0 && !self.unresponsive
    }

    /// Its weight among the backends of its kind, by the assignment.
    pub fn weight(&self) -> f64 {
        self.assigned.map_or(1.0, |u| u.weight)
    }

    /// Maximum attempts of this proxy in flight, if `limit` is that of all proxies together. Where there are so many
    /// proxies that each has less than one slot, the rotation determines which of them have one; otherwise each has
    /// at least one.
    pub fn slots_for(&self, limit: f64, at_least_one: bool) -> f64 {
        (limit * self.limit_fraction + self.rounding_offset).floor().max(f64::from(at_least_one))
    }

    /// Current maximum attempts of this proxy in flight; `factor` multiplies the limit where proxies share slots.
    pub fn slots_now(&self, factor: Option<f64>, at_least_one: bool) -> f64 {
        factor.map_or(self.slots, |factor| self.slots_for(self.limit * factor, at_least_one))
    }

    /// Records the requests in flight in the limit search. Must be called before their number changes, and
    /// periodically.
    pub fn record_load(
        &mut self, now: Time, turn: (u64, Turn, bool), traffic_fraction: f64, search: &mut LimitSearch,
    ) {
        if let Some((turn, load_s, secs)) = self.limiter.sample(now, turn, self.in_flight) {
            search.record_load(turn, load_s / traffic_fraction, secs);
        }
    }
}

/// The estimates of a request class.
#[derive(Default)]
pub(crate) struct ClassState {
    pub latency: Mean,
    /// Fraction of the arrivals that are of this class.
    pub demand: f64,
    /// Fraction of all ended requests that are of this class and were served in time.
    pub served_in_time: f64,
    /// Remaining retry budget, in attempts.
    pub retry_budget: f64,
}

/// An attempt of a request.
pub(crate) struct AttemptRecord {
    pub backend: Backend,
    pub sent_at: Time,
    /// Whether it is in flight.
    pub in_flight: bool,
    /// Whether its outcome proves that it did not run.
    pub never_ran: bool,
}

impl AttemptRecord {
    /// An attempt that is dispatched now.
    pub fn dispatched(now: Time, backend: &Backend) -> AttemptRecord {
        AttemptRecord { backend: backend.clone(), sent_at: now, in_flight: true, never_ran: false }
    }
}

/// An attempt in flight.
#[derive(Clone, Copy)]
pub(crate) struct InFlightAttempt {
    pub backend: BackendId,
    pub class: usize,
    pub sent_at: Time,
    /// Whether it has been counted as late.
    pub late: bool,
    /// Whether its backend had no other request in flight when it was sent.
    pub alone: bool,
    /// Whether it is among the first requests of its class on its kind.
    pub first: bool,
}

/// A request without a final answer.
pub(crate) struct Request {
    pub class: usize,
    pub arrived_at: Time,
    pub objective_at: Time,
    pub deadline: Time,
    /// Its value relative to a client's first attempt within quota.
    pub value: f64,
    pub streaming: bool,
    pub attempts: Vec<AttemptRecord>,
}

impl Request {
    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|s| s.in_flight)
    }
}

/// Fraction of its capacity that a backend in slow start has, if its slow start takes the fraction `duration` of the
/// maximum.
pub(crate) fn capacity_fraction(cfg: &Config, now: Time, entry: &Backend, duration: f64) -> f64 {
    let duration_s = (cfg.slow_start.secs() * duration).max(1e-6);
    let age = entry.booted.map_or(f64::MAX, |boot| (now - boot).secs() / duration_s);
    cfg.initial_capacity + (1.0 - cfg.initial_capacity) * age.min(1.0)
}

/// Retry state of the subscription to the list of backends.
#[derive(Default)]
pub(crate) struct Subscription {
    /// Time of the next request to subscribe; `None` while a subscription is active or none is needed.
    pub retry_at: Option<Time>,
    /// The last delay before a retry, in seconds.
    pub wait_s: f64,
}
