//! The state of a proxy as its readers get it: log, state socket, `gaugesaddle state`. Its fields are an interface of operators'
//! scripts: `tests/data/state.json` holds them.

use serde::{Deserialize, Serialize};

/// What a backend may hold, as the module last knew it: a second ago at most.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitState {
    /// By all proxies together, if this one's part of the traffic is that of each.
    pub limit: f64,
    /// By this proxy, in this turn.
    pub room: u32,
    /// What this proxy held.
    pub held: u32,
    /// Mean latency of the last answers.
    pub recent_us: Option<u64>,
    /// What the same answers would have taken on an idle backend of the kind.
    pub unloaded_us: Option<u64>,
    /// Why the limit moved last: `start`, `served`, `flat` or `bound`.
    pub why: String,
}

/// Of the form of [`Snapshot`]: it grows by one when a field changes its meaning or leaves.
pub const SNAPSHOT_VERSION: u32 = 1;

/// A copy of the registry. Times are Unix microseconds, spans microseconds; counters count since `start_us`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The form of this document.
    pub version: u32,
    /// The program's version.
    pub program: String,
    /// The proxy's name.
    pub name: String,
    /// When the copy was made.
    pub time_us: u64,
    /// When the proxy started.
    pub start_us: u64,
    /// Some backend can be sent requests.
    pub serving: bool,
    /// The proxy was told to end.
    pub stopping: bool,
    /// Its clients are being sent elsewhere.
    #[serde(default)]
    pub draining: bool,
    /// Requests that are owed an answer.
    pub open: usize,
    /// By class, in the order of the settings.
    pub classes: Vec<ClassState>,
    /// By backend, by name.
    pub backends: Vec<BackendStateRow>,
    /// Connections of clients.
    pub connections: Gauge,
    /// Connections to backends.
    pub upstream_sockets: Gauge,
    /// Memory that the bodies of open requests hold.
    pub body_bytes: Gauge,
    /// The list of backends.
    pub list: ListState,
    /// Connections closed and requests not served, by reason.
    pub reasons: Vec<(String, u64)>,
    /// Connections accepted.
    #[serde(default)]
    pub connects: u64,
    /// Storms, where they are watched.
    #[serde(default)]
    pub storm: Option<StormState>,
    /// Other regions, where there are some.
    #[serde(default)]
    pub region: Option<RegionView>,
    /// The tier of proxies, where it is known.
    #[serde(default)]
    pub peers: Option<MembershipView>,
    /// This proxy's part, where parts go by need.
    #[serde(default)]
    pub shares: Option<AllocationView>,
    /// Zones as all proxies together find them, where that is on.
    #[serde(default)]
    pub zones: Option<ZonesView>,
}

/// What the tier holds of its zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonesView {
    /// The decision that is held; 0 and 0: none yet.
    pub epoch: u32,
    /// See `epoch`.
    pub round: u16,
    /// The place of who decided it.
    pub by: Option<u16>,
    /// Held for so long.
    pub held_us: u64,
    /// This proxy decides.
    pub decides: bool,
    /// The zones that most see and this proxy does not, where it is so cut off that it is not ready.
    pub cut_off: Option<String>,
    /// Places that are blind to a zone that most see.
    pub blind: Vec<(u16, String)>,
    /// One row a zone.
    pub zones: Vec<ZoneRow>,
}

/// One zone of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneRow {
    /// Its name.
    pub name: String,
    /// Proxies whose word counts.
    pub voices: u32,
    /// Of these those that find it lost.
    pub against: u32,
    /// Most do.
    pub lost: bool,
    /// What comes to its proxies, in requests a second.
    pub needs: f64,
    /// What its backends can do; `None`: nobody knows.
    pub can: Option<f64>,
    /// The part of that which it is trusted with.
    pub trust: f64,
    /// What of its own stays, by class, those worth most first.
    pub near: Vec<f64>,
    /// Its part of all that leaves a zone for another.
    pub to: f64,
}

/// This proxy's part of what all of them may do, twice a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllocationView {
    /// `by need`; `waking`: it does not know yet who lives, and goes by what it was told or knew last.
    pub state: String,
    /// Places of the told list.
    pub told: usize,
    /// Those that live.
    pub living: usize,
    /// Which of them this one is, from 0.
    pub position: usize,
    /// Its part of what all of them may do.
    pub part: f64,
    /// The even part of those that live.
    pub even: f64,
    /// What comes to it, and to all of them, in requests a second.
    pub need: f64,
    /// See `need`.
    pub needs: f64,
    /// Of the living so many have not told theirs: they count as the mean.
    pub unknown: usize,
    /// Backends that it uses, of those that are listed ready.
    pub uses: usize,
    /// See `uses`.
    pub listed: usize,
    /// What should sum to the whole over all proxies.
    #[serde(default)]
    pub soft: Vec<SoftQuantityView>,
    /// What may come from other regions in a second, lent among this region's proxies.
    #[serde(default)]
    pub lent: Vec<LeaseQuantityView>,
}

/// One proxy's hold on what is dealt out by need and may be a little off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SoftQuantityView {
    /// What.
    pub name: String,
    /// Of all proxies together, as this one reckons it.
    pub whole: f64,
    /// This one's.
    pub own: f64,
    /// Of that so much is in use.
    pub used: f64,
    /// What its part goes by.
    pub by: String,
}

/// A quantity that is lent, in requests a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseQuantityView {
    /// The other region.
    pub from: String,
    /// What all proxies of this one may take.
    pub whole: u32,
    /// The even part of one.
    pub even: u32,
    /// What this one may take now, and what it would need.
    pub usable: u32,
    /// See `usable`.
    pub need: u32,
    /// Lent to others, and borrowed of them.
    pub given: u32,
    /// See `given`.
    pub taken: u32,
    /// The first of what is borrowed ends so long from now.
    pub lease_left_us: Option<u64>,
}

/// What this proxy sees of its tier. This proxy counts among the living.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipView {
    /// This proxy's place in the told list.
    pub place: u16,
    /// Its process, in hex.
    pub boot: String,
    /// Places of the told list.
    pub told: usize,
    /// Those that live, suspects too.
    pub living: usize,
    /// Of these those that somebody found silent.
    pub suspect: usize,
    /// Met, and dead.
    pub dead: usize,
    /// Said that they leave.
    pub left: usize,
    /// Never met.
    pub unseen: usize,
    /// `most`: more than half of the told tier lives; `small`: fewer were ever met, nobody is missing; `torn`: half or
    /// more of those that were met are lost.
    pub shape: String,
    /// More than half of the told tier lives.
    pub more_than_half: bool,
    /// So long nobody came to the living or went from them.
    pub unchanged_us: u64,
    /// So long ago anybody answered this proxy.
    pub answered_us: u64,
    /// So long ago this process last came back from a stall.
    pub awake_us: u64,
    /// How far this proxy stretches its own waits, 1 to 4.
    pub health: u32,
    /// The sum over the living.
    pub totals: SignalTotals,
    /// Datagrams sent, their bytes, and those that the system did not take.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// See `sent`.
    pub unsent: u64,
    /// Datagrams that came; of these not of the form, from no place of the list, without a good tag, here before, and
    /// of processes that had not proven that they live.
    pub came: u64,
    /// See `came`.
    pub garbled: u64,
    /// See `came`.
    pub foreign: u64,
    /// See `came`.
    pub forged: u64,
    /// See `came`.
    pub replayed: u64,
    /// See `came`.
    pub unproven: u64,
    /// Questions not answered, for more came than is answered in a second.
    pub over: u64,
    /// Questions asked, and those that nobody answered.
    pub asked: u64,
    /// See `asked`.
    pub silent: u64,
    /// Times that this proxy was found silent and objected.
    pub refuted: u64,
    /// Times that this process slept.
    pub stalls: u64,
    /// By place.
    pub peers: Vec<MemberRow>,
}

/// The sum of what the living say of themselves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SignalTotals {
    /// Living proxies whose record is held.
    pub told: usize,
    /// Of these so many are older than `older_than_us`.
    pub older: usize,
    /// See `older`.
    pub older_than_us: u64,
    /// The oldest.
    pub oldest_us: u64,
    /// Arrivals a second, by class.
    pub arrivals_per_s: Vec<(String, f64)>,
    /// Requests that are open.
    pub held: f64,
    /// Requests a second that are refused or failed.
    pub given_up_per_s: f64,
}

/// One proxy of the tier.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Its place in the told list.
    pub place: u16,
    /// Where it is reached.
    pub address: String,
    /// Its name, once it was told.
    pub name: String,
    /// Its zone, once it was told.
    pub zone: String,
    /// It is this one.
    pub own: bool,
    /// `unseen`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Since when.
    pub since_us: u64,
    /// Its process, once it was met, in hex.
    pub boot: Option<String>,
    /// That process's incarnation.
    pub incarnation: u32,
    /// So long ago it was heard directly.
    pub heard_us: Option<u64>,
    /// How old its record is.
    pub record_age_us: Option<u64>,
    /// Two living processes claim the place.
    pub contested: bool,
}

/// What is seen of storms, a few times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StormState {
    /// `calm`, `rising`, `storm` or `recovering`.
    pub state: String,
    /// Since when.
    pub since_us: u64,
    /// Storms so far.
    pub storms: u64,
    /// Requests a second.
    pub per_s: f64,
    /// What is usual, once that is known.
    pub usual_per_s: Option<f64>,
    /// The part of the requests that were asked before.
    pub repeats: f64,
    /// Requests a second that are let in, where a storm bounds them.
    pub let_in_per_s: Option<f64>,
}

/// How this proxy stands with other regions, a few times a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RegionView {
    /// This region's name.
    pub name: String,
    /// `local`, `spilling` or `returning`.
    pub state: String,
    /// Since when.
    pub since_us: u64,
    /// What the usable backends can do beside what comes, at most 9.99.
    pub covered: f64,
    /// `auto`, `never` or `now`.
    pub switch: String,
    /// When the certificate in use ends.
    pub certificate_end_us: u64,
    /// Sets of keys taken into use since the start, and those that could not be.
    pub keys_taken: u64,
    /// See `keys_taken`.
    pub keys_refused: u64,
    /// Open connections from other regions.
    pub connections: usize,
    /// Handshakes that failed, and peers whose certificate is no region's.
    pub strangers: u64,
    /// Requests from gateways that were not of the form, or had been here.
    pub barred: u64,
    /// The other regions, in the order of the file.
    pub others: Vec<OtherRegionView>,
}

/// One other region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OtherRegionView {
    /// Its name.
    pub name: String,
    /// Out there now, and how many may be.
    pub in_flight: (u32, u32),
    /// Sent in this second, and how many may be.
    pub per_s: (u32, u32),
    /// Sent; of these served there, refused as not run, and those that may have run.
    pub sent: u64,
    /// See `sent`.
    pub ran: u64,
    /// See `sent`.
    pub not_run: u64,
    /// See `sent`.
    pub may_have_run: u64,
    /// Not sent: they would go round, or had no hop left.
    pub barred: u64,
    /// Not sent: less time left than the way takes.
    pub too_late: u64,
    /// Not sent: the budget was used up.
    pub over_budget: u64,
    /// Not sent: the region refused or failed a moment ago.
    pub backed_off: u64,
    /// A high quantile of the way there and back, with the margin.
    pub trip_us: u64,
    /// Left alone until then.
    pub paused_until_us: Option<u64>,
    /// From there: in service now, and how many may be.
    pub taken_in_flight: (u32, u32),
    /// From there: taken in, and refused for its budget.
    pub taken: u64,
    /// See `taken`.
    pub refused: u64,
}

/// A value with its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gauge {
    /// The value.
    pub now: usize,
    /// Its bound.
    pub most: usize,
}

/// What is known of the list's age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListState {
    /// The version last told.
    pub index: Option<u64>,
    /// The time since discovery told anything.
    pub age_us: Option<u64>,
}

/// The requests of a class: taken = in_aim + late + refused + failed + left + those open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassState {
    /// Its name.
    pub name: String,
    /// Requests that the driver took.
    pub taken: u64,
    /// Served within the class's aim.
    pub in_aim: u64,
    /// Served after it.
    pub late: u64,
    /// Refused.
    pub refused: Rejections,
    /// Failed.
    pub failed: Failures,
    /// The client left before its answer.
    pub left: u64,
}

/// Refusals by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejections {
    /// By the module.
    pub module: u64,
    /// More requests were open than the settings allow.
    pub open_cap: u64,
    /// Handed over to other regions, none of which took it.
    #[serde(default)]
    pub elsewhere: u64,
}

/// Failures by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// By the module.
    pub module: u64,
    /// The module did not answer in its turn after the deadline.
    pub unanswered: u64,
    /// The module had to start anew.
    pub restart: u64,
    /// Handed over to another region, where it may have run.
    #[serde(default)]
    pub elsewhere: u64,
}

/// A backend and the attempts sent to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendStateRow {
    /// Its name in the list.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// `ready`, `draining`, or `gone` while something of it is out.
    pub state: String,
    /// When it started, if that was told.
    pub booted_us: Option<u64>,
    /// Attempts that are out.
    pub in_flight: u32,
    /// Attempts so far.
    pub attempts: u64,
    /// Attempts by outcome; their sum and those in flight are the attempts.
    pub outcomes: Vec<(String, u64)>,
    /// The mean time of those served.
    pub latency_mean_us: Option<u64>,
    /// Half of those served took no longer; up to 42% too high.
    pub latency_p50_us: Option<u64>,
    /// 99 in 100 of those served took no longer; up to 42% too high.
    pub latency_p99_us: Option<u64>,
    /// What it may hold; absent until the module has looked at it.
    #[serde(default)]
    pub limit: Option<LimitState>,
}
