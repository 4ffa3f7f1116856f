//! Events: what the host reports to the decision module.

use super::units::*;

/// An entry of the list of backends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// Which backend.
    pub id: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind (speed class).
    pub kind: KindId,
    /// Whether it may be sent requests.
    pub state: BackendState,
    /// When it last started; `None`: long ago.
    pub booted: Option<Time>,
    /// The list's weight, compared within a kind only; read where
    /// [`Config::live_weights`](super::Config::live_weights) is set.
    pub weight: f64,
}

/// Whether a backend may be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// It may.
    Ready,
    /// No new ones: it finishes those in flight.
    Draining,
    /// None: it has departed.
    #[default]
    Departed,
}

/// The kind of an update of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries that changed.
    Changes,
    /// The full list; what is absent has departed.
    Full,
    /// The full list as of before a restart, possibly out of date.
    Cached,
    /// The call or the subscription failed; the last list stays.
    Lost,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Rejected unprocessed.
    Full,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
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
    /// Time until the client gives up.
    pub remaining: Micros,
    /// The expected work, as time on a standard core.
    pub work_hint: Option<Micros>,
    /// The client marks it as a retry.
    pub repeat: bool,
    /// Its source did not wait for the retry time that it was given.
    pub retried_early: bool,
    /// It comes from another region that cannot serve it.
    pub from_other_region: bool,
}

/// Which requests may be handed to another region; the last offer is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Offer {
    /// Number of requests of each class; empty: none.
    pub capacity: Vec<u32>,
    /// Duration of the hop, without serving.
    pub hop_duration: Micros,
    /// Of each class the fraction that need not be attempted here first, 0 to 1: what the fleet here cannot serve.
    pub direct_fraction: Vec<f64>,
}

impl Offer {
    /// The number of requests of the class.
    pub fn capacity(&self, class: usize) -> u32 {
        self.capacity.get(class).copied().unwrap_or(0)
    }
}

/// The proxies that share the traffic, as they are seen now. Without it, a proxy assumes the configured number
/// and an even fraction. What all together may never exceed is divided by the configured number in any case.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tier {
    /// How many are live, this one included.
    pub proxies: u32,
    /// Which of them this one is, from 0, in an order that all share.
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

/// How this proxy uses a backend, as the live proxies have assigned it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendAssignment {
    /// Which.
    pub backend: BackendId,
    /// Its weight in this proxy's traffic, relative to the mean of those of its kind that this one uses.
    pub weight: f64,
    /// This proxy's fraction of the backend's limit.
    pub fraction: f64,
    /// Sum of the fractions of the users before this one, in an order that all share: rotation goes by it.
    pub preceding: f64,
    /// How many use it.
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

    /// The offset that rounds its fraction of the limit: the users' slots add up to the limit, and rotate.
    pub(crate) fn coin(&self, limit: f64, turn: u64) -> f64 {
        let users = u64::from(self.users);
        let step = (self.backend.0.wrapping_add(turn) % users) as f64 + 0.5;
        (self.preceding * limit + step / users as f64).fract()
    }
}

/// A retry storm as the host detects it, and the limits while it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StormLimits {
    /// Requests per second that this proxy may admit; `None`: no storm, no limit.
    pub admit_per_s: Option<f64>,
    /// Second attempts may be sent while one is in flight.
    pub hedging: bool,
    /// Retries for each new request of the class.
    pub retry_ratio: f64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// How.
    pub outcome: Outcome,
    /// Time since the dispatch.
    pub latency: Micros,
    /// The request has had its final answer; the module gives none.
    pub answered: bool,
}

/// What the host reports to the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the list of backends.
    Members {
        /// Its kind.
        update: ListUpdate,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// A client's request: it gets one final answer.
    Request(Arrival),
    /// The answer has begun to stream: the attempt is the client's now and no time-out runs.
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
    /// The offer of other regions has changed.
    Offer(Offer),
    /// The live proxies, or their fractions of the traffic, have changed.
    Tier(Tier),
    /// All backends assigned to this proxy; none: it chooses them by the number of proxies.
    Assignments(Vec<BackendAssignment>),
    /// The client disconnected; no answer is due.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer fell due.
    Timer {
        /// Which.
        token: TimerToken,
    },
}
