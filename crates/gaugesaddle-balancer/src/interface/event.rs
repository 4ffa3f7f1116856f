//! Events: what the host reports to the decision module.

use super::units::*;

/// A line of the backend list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// Which backend.
    pub id: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind.
    pub kind: KindId,
    /// What it may be sent.
    pub state: BackendState,
    /// When it last started; `None` means long ago.
    pub booted: Option<Time>,
    /// The list's weight, compared within a kind only; read where [`Config::live_weights`](super::Config::live_weights) is set.
    pub weight: f64,
}

/// What a backend may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// Requests.
    Ready,
    /// Nothing new: it finishes what it has.
    Draining,
    /// Nothing: it has left.
    #[default]
    Gone,
}

/// What sort of news about the list this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries that changed.
    Changes,
    /// The whole list; what is absent is gone.
    Full,
    /// The whole list as it was before a restart, perhaps out of date.
    Cached,
    /// The call or the subscription failed; the list held stays.
    Lost,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
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
    /// Its customer, if any.
    pub tenant: Option<TenantId>,
    /// When the client gives up, from now.
    pub time_left: Micros,
    /// The work expected, on a standard core.
    pub work_hint: Option<Micros>,
    /// The client says that it asked before.
    pub repeat: bool,
    /// Its source comes back before it was told to.
    pub out_of_turn: bool,
    /// It comes from another region, whose last resort this one is.
    pub foreign: bool,
}

/// What may leave for another region, as the host finds it at that moment; the last one told holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Offer {
    /// How many requests of each class; empty: none at all.
    pub room: Vec<u32>,
    /// The time that the way takes, beside serving.
    pub trip: Micros,
    /// Of each class the part that need not be tried here first, 0 to 1: so much of it the fleet here can't serve.
    pub at_once: Vec<f64>,
}

impl Offer {
    /// Places for the class.
    pub fn room(&self, class: usize) -> u32 {
        self.room.get(class).copied().unwrap_or(0)
    }
}

/// The proxies that share the traffic, as they are seen now. Told nothing, a proxy goes by the told number and an even
/// part. What may never be exceeded by all together goes by the told number in any case.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tier {
    /// How many live, this one included.
    pub proxies: u32,
    /// Which of them this one is, from 0, in an order that all share.
    pub position: u32,
    /// Its part of the traffic beside an even one.
    pub weight: f64,
}

impl Tier {
    /// This proxy's part of all traffic.
    pub fn share(&self) -> f64 {
        self.weight / f64::from(self.proxies)
    }

    /// What can be: others are kept out.
    pub(crate) fn is_sound(&self) -> bool {
        self.position < self.proxies && (0.01..=100.0).contains(&self.weight)
    }
}

/// How this proxy uses a backend, as those that live have dealt it out among them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Use {
    /// Which.
    pub backend: BackendId,
    /// What it gets of this proxy's traffic beside the mean of those of its kind that this one uses.
    pub weight: f64,
    /// This proxy's part of all that the backend gets.
    pub part: f64,
    /// The parts of its users before this one, in an order that all share: whose turn it is goes by it.
    pub before: f64,
    /// How many use it.
    pub users: u32,
}

impl Use {
    /// What can be: others are kept out.
    pub(crate) fn is_sound(&self) -> bool {
        let part = |x: f64| (0.0..=1.001).contains(&x);
        part(self.part) && part(self.before) && (0.0..=1e6).contains(&self.weight) && self.users > 0
    }

    /// What rounds its part of so much: the users' rooms add up to the whole, and each is next in its turn.
    pub(crate) fn coin(&self, limit: f64, turn: u64) -> f64 {
        let users = u64::from(self.users);
        let step = (self.backend.0.wrapping_add(turn) % users) as f64 + 0.5;
        (self.before * limit + step / users as f64).fract()
    }
}

/// What the host sees of a storm, and what may be done while it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Requests a second that this proxy may let in; `None`: no storm, as many as come.
    pub let_in_per_s: Option<f64>,
    /// Second copies may be sent beside an attempt that is out.
    pub copies: bool,
    /// Attempts beside those that may have run, for each new request of the class.
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
    /// The request has had its final answer; the module owes none.
    pub settled: bool,
}

/// What the host tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the backend list.
    Members {
        /// What sort of news.
        update: ListUpdate,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// A client's request: it is owed one final answer.
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
    /// A storm began, changed or ended.
    Pressure(Pressure),
    /// What may leave for another region has changed.
    Offer(Offer),
    /// The proxies that live, or their parts, have changed.
    Tier(Tier),
    /// Which backends this proxy uses, all of them; none: it deals them out by the number of proxies.
    Uses(Vec<Use>),
    /// The client left; no answer is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer fell due.
    Timer {
        /// Which.
        token: TimerToken,
    },
}
