//! Events that the host reports to the balancer.

use super::units::*;

/// An entry of the list of backends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// Its identifier.
    pub id: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind (speed class).
    pub kind: KindId,
    /// Whether it may be sent requests.
    pub state: BackendState,
    /// Time of its last start; `None` if that was long ago.
    pub booted: Option<Time>,
    /// Its weight in the list, comparable within a kind only. Used only if
    /// [`Config::live_weights`](super::Config::live_weights) is set.
    pub weight: f64,
}

/// Whether a backend may be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// It accepts requests.
    Ready,
    /// It accepts no new requests and finishes those in flight.
    Draining,
    /// It has departed.
    #[default]
    Departed,
}

/// The kind of an update of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries that have changed.
    Changes,
    /// The full list; absent backends have departed.
    Full,
    /// The full list stored before a restart, possibly out of date.
    Cached,
    /// The call or the subscription failed; the last list remains valid.
    Lost,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error response; the attempt may have run.
    Error,
    /// The backend rejected the attempt unprocessed.
    Full,
    /// No answer in time; the attempt may have run or may still run.
    TimedOut,
    /// No connection was established.
    ConnectFailed,
    /// The connection was reset; the attempt may have run.
    Reset,
    /// Cancelled; the attempt may have run.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent)
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Time until the client's deadline.
    pub remaining: Micros,
    /// Expected work, as time on a standard core.
    pub work_hint: Option<Micros>,
    /// Whether the client marks it as a retry.
    pub repeat: bool,
    /// Whether its source retried before the `Retry-After` delay that it was given had passed.
    pub retried_early: bool,
    /// Whether another region forwarded it.
    pub from_other_region: bool,
}

/// Capacity that other regions offer for forwarded requests. A new offer replaces the previous one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Offer {
    /// Number of requests of each class that may be forwarded; empty means none.
    pub capacity: Vec<u32>,
    /// Time that forwarding adds to a request, without the service time.
    pub hop_duration: Micros,
    /// Fraction of each class, 0 to 1, that is forwarded without a local attempt: the local fleet cannot serve it.
    pub direct_fraction: Vec<f64>,
}

impl Offer {
    /// Number of requests of the class that may be forwarded.
    pub fn capacity(&self, class: usize) -> u32 {
        self.capacity.get(class).copied().unwrap_or(0)
    }
}

/// The live proxies that share the traffic. Without this event a proxy assumes the configured number of proxies and
/// an even fraction. Budgets that all proxies together must never exceed are divided by at least the configured
/// number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tier {
    /// Number of live proxies, this one included.
    pub proxies: u32,
    /// Index of this proxy, from 0, in an order that all proxies share.
    pub position: u32,
    /// Its traffic relative to an even fraction.
    pub weight: f64,
}

impl Tier {
    /// This proxy's fraction of all traffic.
    pub fn traffic_fraction(&self) -> f64 {
        self.weight / f64::from(self.proxies)
    }

    /// Whether the values are in their ranges; others are ignored.
    pub(crate) fn is_valid(&self) -> bool {
        self.position < self.proxies && (0.01..=100.0).contains(&self.weight)
    }
}

/// Assignment of a backend to this proxy, as the live proxies have computed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendAssignment {
    /// The backend.
    pub backend: BackendId,
    /// Its weight in this proxy's traffic, relative to the mean of this proxy's backends of the same kind.
    pub weight: f64,
    /// This proxy's fraction of the backend's limit.
    pub fraction: f64,
    /// Sum of the fractions of the backend's users that precede this proxy, in an order that all proxies share. The
    /// rotation of slots depends on it.
    pub preceding: f64,
    /// Number of proxies that use the backend.
    pub users: u32,
}

impl BackendAssignment {
    /// Whether the values are in their ranges; others are ignored.
    pub(crate) fn is_valid(&self) -> bool {
        let is_fraction = |x: f64| (0.0..=1.001).contains(&x);
        is_fraction(self.fraction)
            && is_fraction(self.preceding)
            && (0.0..=1e6).contains(&self.weight)
            && self.users > 0
    }

    /// The offset that is added before this proxy's fraction of the limit is rounded down: the slots of all users
    /// add up to the limit, and rotate among them.
    pub(crate) fn rounding_offset(&self, limit: f64, turn: u64) -> f64 {
        let users = u64::from(self.users);
        let step = (self.backend.0.wrapping_add(turn) % users) as f64 + 0.5;
        (self.preceding * limit + step / users as f64).fract()
    }
}

/// Limits while the host detects a retry storm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StormLimits {
    /// Requests per second that this proxy may admit; `None` means no storm and no limit.
    pub admit_per_s: Option<f64>,
    /// Whether a second attempt may be sent while the first is in flight.
    pub hedging: bool,
    /// Retries per new request of a class.
    pub retry_ratio: f64,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// Its outcome.
    pub outcome: Outcome,
    /// Time since the dispatch.
    pub latency: Micros,
    /// Whether the request has had its final answer; if so, the balancer gives none.
    pub answered: bool,
}

/// An event that the host reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the list of backends.
    Members {
        /// Its kind.
        update: ListUpdate,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// A client's request, which gets exactly one final answer.
    Request(Arrival),
    /// The answer has begun to stream to the client: from now on the attempt has no time-out.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A retry storm began, changed or ended.
    StormLimits(StormLimits),
    /// The offer of the other regions has changed.
    Offer(Offer),
    /// The live proxies, or their fractions of the traffic, have changed.
    Tier(Tier),
    /// All backends assigned to this proxy. If empty, the proxy selects its backends by the number of proxies.
    Assignments(Vec<BackendAssignment>),
    /// The client disconnected; no answer is due.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token of the timer.
        token: TimerToken,
    },
}
