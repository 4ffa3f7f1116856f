//! The whole interface of the decision module: configuration, events, actions. No decisions here.

/// A point in time, in microseconds of the host's clock; it begins at no particular value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A span of time in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl std::ops::Add<Micros> for Time {
    type Output = Time;
    fn add(self, span: Micros) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl std::ops::Sub for Time {
    type Output = Micros;
    /// The span since `earlier`; zero where that lies ahead.
    fn sub(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Micros {
    /// The span of so many seconds; negative ones give zero.
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }
    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span times a factor; negative factors give zero.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One client request; never used again.
    RequestId(u64);
    /// One server process's address, numbered by the host; the same number at every proxy.
    BackendId(u64);
    /// A place in the network.
    ZoneId(u64);
    /// A handful of backends that share which keys they have seen.
    CellId(u64);
    /// A sort of machine: backends of one kind are taken as equally fast.
    KindId(u64);
    /// Index into [`Config::classes`].
    ClassId(usize);
    /// Index into [`Config::tenants`].
    TenantId(usize);
    /// Number of an attempt within its request, from 0 in the order of dispatch.
    AttemptNo(u32);
    /// Names a timer to its owner.
    TimerToken(u64);
}

/// Everything told at start-up.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// How many proxies share the traffic, this one included.
    pub proxies: u32,
    /// Which of them this one is, from 0.
    pub position: u32,
    /// The proxy's own zone.
    pub zone: ZoneId,
    /// How many zones there are.
    pub zones: u32,
    /// The sorts of requests.
    pub classes: Vec<Class>,
    /// The customers; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request past its tenant's quota, as a part of its class's worth.
    pub over_quota_worth: f64,
    /// What the operator's goal puts on the whole of the traffic.
    pub goal_whole: f64,
    /// What the operator's goal puts on the worst-served class.
    pub goal_worst_class: f64,
    /// What it costs the goal when every request crosses zones once.
    pub cross_zone_cost: f64,
    /// Where the list of backends comes from.
    pub discovery: Discovery,
    /// The list's weights are nominal size / (1 + requests held a core), as of a while ago.
    pub live_weights: bool,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Two attempts of one request may be out at once.
    pub second_copies: bool,
    /// The least time between two rounds of events.
    pub tick: Micros,
    /// Part of its capacity that a backend has at least when it boots.
    pub cold_from: f64,
    /// A booted backend is warm after this time at most.
    pub ramp: Micros,
    /// A cold backend sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this time falls over.
    pub fall_window: Micros,
    /// What the operator allows of the learned limits.
    pub limits: LimitBounds,
}

/// Bounds of what all proxies together may hold on one backend; alike, they are that constant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// Limits are learned; else each is the constant of four, no less than `least` and no more than `most`.
    pub learned: bool,
    /// No limit is learned below this.
    pub least: f64,
    /// Nor above it.
    pub most: f64,
}

impl LimitBounds {
    /// A limit within them.
    pub fn hold(&self, limit: f64) -> f64 {
        limit.clamp(self.least, self.most)
    }
}

impl Default for LimitBounds {
    /// One request at least, or nothing would be learned; a thousand cores at most.
    fn default() -> LimitBounds {
        LimitBounds { learned: false, least: 1.0, most: 1000.0 }
    }
}

/// Why a backend's limit moved last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReason {
    /// No sign of a crowd yet, and no need of more.
    Start,
    /// Holding more made nothing later: a step up.
    Flat,
    /// Holding more made answers later: a step down.
    Crowded,
    /// The operator's least or most.
    Bound,
    /// It is not learned.
    Constant,
}

impl LimitReason {
    /// For people.
    pub fn name(self) -> &'static str {
        match self {
            LimitReason::Start => "start",
            LimitReason::Flat => "flat",
            LimitReason::Crowded => "crowded",
            LimitReason::Bound => "bound",
            LimitReason::Constant => "constant",
        }
    }
}

/// What is known of a backend's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitView {
    /// Which backend.
    pub backend: BackendId,
    /// What all proxies together may hold, by this one's part of the traffic.
    pub limit: f64,
    /// What this proxy may hold.
    pub room: u32,
    /// What it holds.
    pub held: u32,
    /// Latency of its recent answers, and what the same would have taken unloaded, s.
    pub latency: Option<(f64, f64)>,
    /// Why the limit moved last.
    pub why: LimitReason,
}

impl Config {
    /// A small sound configuration: one zone, three proxies, one class that is free to repeat.
    pub fn example() -> Config {
        Config {
            proxies: 3,
            position: 0,
            zone: ZoneId(0),
            zones: 1,
            classes: vec![Class {
                aim: Micros(500_000),
                aim_stretch: 0.0,
                effect: Effect::Free,
                worth: 1.0,
                late_worth: 0.0,
            }],
            tenants: Vec::new(),
            over_quota_worth: 0.1,
            goal_whole: 1.0,
            goal_worst_class: 0.0,
            cross_zone_cost: 0.0,
            discovery: Discovery::Push,
            live_weights: false,
            max_attempts: 3,
            cancel: true,
            second_copies: true,
            tick: Micros(5_000),
            cold_from: 0.3,
            ramp: Micros(10_000_000),
            fall_multiple: 3.0,
            fall_window: Micros(2_000_000),
            limits: LimitBounds::default(),
        }
    }

    /// The first field that is out of its range, if any.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let part = |x: f64| (0.0..=1.0).contains(&x);
        let above_zero = |x: f64| x > 0.0 && x.is_finite();
        let classes = &self.classes;
        let tests = [
            (self.proxies > 0, "proxies", "at least 1"),
            (self.position < self.proxies, "position", "less than proxies"),
            (self.zones > 0, "zones", "at least 1"),
            (!classes.is_empty(), "classes", "at least one class"),
            (classes.iter().all(|c| c.aim.0 > 0), "aim", "a time above 0"),
            (classes.iter().all(|c| c.aim_stretch >= 0.0), "aim_stretch", "at least 0"),
            (classes.iter().all(|c| above_zero(c.worth)), "worth", "a finite number above 0"),
            (classes.iter().all(|c| part(c.late_worth)), "late_worth", "a part from 0 to 1"),
            (self.tenants.iter().all(|t| above_zero(t.quota_per_s)), "quota_per_s", "a finite rate above 0"),
            (part(self.over_quota_worth), "over_quota_worth", "a part from 0 to 1"),
            (part(self.goal_whole), "goal_whole", "a part from 0 to 1"),
            (part(self.goal_worst_class), "goal_worst_class", "a part from 0 to 1"),
            (self.cross_zone_cost >= 0.0, "cross_zone_cost", "at least 0"),
            (self.max_attempts > 0, "max_attempts", "at least 1"),
            (self.tick.0 > 0, "tick", "a time above 0"),
            (part(self.cold_from), "cold_from", "a part from 0 to 1"),
            (above_zero(self.fall_multiple), "fall_multiple", "a finite number above 0"),
            (above_zero(self.limits.least), "limits.least", "a finite number above 0"),
            (self.limits.most >= self.limits.least, "limits.most", "no less than limits.least"),
        ];
        let failed = tests.into_iter().find(|t| !t.0);
        failed.map_or(Ok(()), |(_, field, expected)| Err(ConfigError { field, expected }))
    }
}

/// A sort of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// The aim grows by this multiple of the request's work hint.
    pub aim_stretch: f64,
    /// What a second run would do.
    pub effect: Effect,
    /// What a request is worth.
    pub worth: f64,
    /// The part of the worth left after the aim.
    pub late_worth: f64,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated and refused at will.
    Free,
    /// The backends of one scope discard repeats for a time after the first send.
    Keyed(KeyScope, Micros),
    /// A second run does harm.
    Unsafe,
}

/// Which backends discard each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all proxies, that earn full worth.
    pub quota_per_s: f64,
}

/// Where the list of backends comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
    Push,
    /// Changes arrive after [`Action::Follow`]; a proxy that does not ask counts as told after this time.
    Subscribe(Micros),
}

/// Why a configuration was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The field at fault.
    pub field: &'static str,
    /// What was expected of it.
    pub expected: &'static str,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: expected {}", self.field, self.expected)
    }
}

impl std::error::Error for ConfigError {}

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
    /// The list's weight, compared within a kind only; read where [`Config::live_weights`] is set.
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

/// What the backends in use can do, by what this proxy knows of them, and what comes: requests a second of this proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// What they can do; infinite before any was served.
    pub able: f64,
    /// What comes of each class.
    pub demand: Vec<f64>,
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

/// What the backends of one zone are to this proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Those that it uses.
    pub backends: u32,
    /// Of these so many it finds ill.
    pub ill: u32,
    /// What the others can do for this proxy, in requests a second; infinite before any was served.
    pub able: f64,
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

/// What the module asks of the host, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; it may last until the client gives up.
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
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Hand it to another region, within the last [`Offer`]: the host owes its final answer from here on. No attempt
    /// of it is out, and none may have run unless a repeat is free.
    Leave {
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
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// The token it is to carry.
        token: TimerToken,
        /// When, from now.
        after: Micros,
    },
    /// Ask discovery for changes from now on.
    Follow,
    /// A line for the operators.
    Log(String),
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// Load shedding did not let it in.
    Shed,
    /// Cold backends would have had it, beyond what they can bear.
    Cold,
    /// It was held until it could not be served in time any more.
    Held,
    /// Its attempts ended without an answer and none may follow.
    Spent,
}

/// How a proxy stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// Requests a second that were let in, and that came.
    pub rate: f64,
    /// See `rate`.
    pub arrivals: f64,
    /// The part of the traffic that is let in, 0 to 1.
    pub admit: f64,
    /// Attempts that may be out.
    pub pool: f64,
    /// Attempts that are out.
    pub out: usize,
    /// Requests that wait for room.
    pub held: usize,
    /// Backends in use.
    pub ready: f64,
    /// The part of the traffic that has a place on a backend, 0 to 1 and a little more.
    pub pull: f64,
    /// Requests given up so far, by [`GivenUp`].
    pub given_up: [u64; 4],
}

impl std::fmt::Display for Standing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Standing { rate, arrivals, admit, pool, out, held, ready, pull, .. } = self;
        let [shed, cold, late, spent] = self.given_up;
        write!(
            f,
            "rate={rate:.1} arrivals={arrivals:.1} admit={admit:.2} pool={pool:.2} out={out} held={held} \
             ready={ready:.0} pull={pull:.2} shed={shed} cold={cold} late={late} spent={spent}"
        )
    }
}
