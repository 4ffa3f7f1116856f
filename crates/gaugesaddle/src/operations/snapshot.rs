//! The state of a proxy as it is published on the state socket and by `gaugesaddle state`. Operators' scripts read its
//! fields; the golden file `tests/data/state.json` contains them.

use serde::{Deserialize, Serialize};

/// The concurrency limit of a backend, as the balancer last reported it: at most one second ago.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitState {
    /// Limit of requests in flight from all proxies together, as this proxy estimates it.
    pub limit: f64,
    /// Limit of this proxy.
    pub room: u32,
    /// Requests in flight from this proxy.
    pub held: u32,
    /// Mean latency of recent responses.
    pub recent_us: Option<u64>,
    /// Mean latency of the same responses if the backend were idle.
    pub unloaded_us: Option<u64>,
    /// Reason for the last change of the limit: `start`, `served`, `flat` or `bound`.
    pub why: String,
}

/// Version of the format of [`Snapshot`], incremented when a field changes its meaning or is removed.
pub const SNAPSHOT_VERSION: u32 = 1;

/// A copy of the registry. Times are Unix times in microseconds, durations are in microseconds; counters start at
/// `start_us`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the format of this document.
    pub version: u32,
    /// Version of the program.
    pub program: String,
    /// Name of the proxy.
    pub name: String,
    /// Time of the copy.
    pub time_us: u64,
    /// Start time of the proxy.
    pub start_us: u64,
    /// Whether some backend can be sent requests.
    pub serving: bool,
    /// Whether the proxy is shutting down.
    pub stopping: bool,
    /// Whether the operators drain the proxy.
    #[serde(default)]
    pub draining: bool,
    /// Number of requests that have not been answered.
    pub open: usize,
    /// Requests by class, in the order of the settings.
    pub classes: Vec<ClassState>,
    /// Backends, sorted by name.
    pub backends: Vec<BackendStateRow>,
    /// Connections from clients.
    pub connections: Gauge,
    /// Connections to backends.
    pub upstream_sockets: Gauge,
    /// Memory used by the bodies of open requests.
    pub body_bytes: Gauge,
    /// The list of backends.
    pub list: ListState,
    /// Closed connections and unserved requests, by reason.
    pub reasons: Vec<(String, u64)>,
    /// Number of accepted connections.
    #[serde(default)]
    pub connects: u64,
    /// Retry storms, where they are detected.
    #[serde(default)]
    pub storm: Option<StormState>,
    /// Other regions, where they are enabled.
    #[serde(default)]
    pub region: Option<RegionView>,
    /// The tier of proxies, where the membership is enabled.
    #[serde(default)]
    pub peers: Option<MembershipView>,
    /// This proxy's allocation, where allocation is by demand.
    #[serde(default)]
    pub shares: Option<AllocationView>,
    /// The zones as assessed by all proxies together, where zone failover is enabled.
    #[serde(default)]
    pub zones: Option<ZonesView>,
}

/// The tier's decision on its zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonesView {
    /// Epoch of the present decision; 0 before the first.
    pub epoch: u32,
    /// Revision of the present decision within its epoch; 0 before the first.
    pub round: u16,
    /// Index of the member that made the decision.
    pub by: Option<u16>,
    /// Time since this proxy adopted the decision.
    pub held_us: u64,
    /// Whether this proxy is the decider.
    pub decides: bool,
    /// Names of the zones that most proxies observe and this one does not, where it is not ready because it is partitioned.
    pub cut_off: Option<String>,
    /// Members that do not observe a zone that most proxies observe, with the name of the zone.
    pub blind: Vec<(u16, String)>,
    /// One row for each zone.
    pub zones: Vec<ZoneRow>,
}

/// One zone of the tier.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneRow {
    /// Its name.
    pub name: String,
    /// Number of proxies whose reports count.
    pub voices: u32,
    /// Number of these that find the zone lost.
    pub against: u32,
    /// Whether the zone is assessed as lost.
    pub lost: bool,
    /// Demand that arrives at its proxies, in requests per second.
    pub needs: f64,
    /// Capacity of its backends, in requests per second; `None` while it is unknown.
    pub can: Option<f64>,
    /// Fraction of its capacity that the zone is trusted with.
    pub trust: f64,
    /// Fraction of the zone's own traffic that it serves itself, by class, the highest priority first.
    pub near: Vec<f64>,
    /// Fraction that the zone receives of all traffic sent from zone to zone.
    pub to: f64,
}

/// This proxy's allocation of the quantities shared by all proxies, updated twice a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllocationView {
    /// `by need`: allocation by demand; `waking`: the live members are not known yet, and the configured number of proxies
    /// or the last known allocation applies.
    pub state: String,
    /// Number of configured members.
    pub told: usize,
    /// Number of live members.
    pub living: usize,
    /// Position of this proxy among the live members, from 0.
    pub position: usize,
    /// This proxy's fraction of all traffic.
    pub part: f64,
    /// Equal fraction of each live member.
    pub even: f64,
    /// Demand at this proxy, in requests per second.
    pub need: f64,
    /// Demand at all live members together, in requests per second.
    pub needs: f64,
    /// Number of live members whose demand is unknown; the mean is assumed for them.
    pub unknown: usize,
    /// Number of backends that this proxy uses.
    pub uses: usize,
    /// Number of backends that are listed as ready.
    pub listed: usize,
    /// Quantities divided by this proxy's fraction; over all proxies each sums to about its total.
    #[serde(default)]
    pub soft: Vec<SoftQuantityView>,
    /// Requests per second accepted from other regions, leased among this region's proxies.
    #[serde(default)]
    pub lent: Vec<LeaseQuantityView>,
}

/// A quantity divided among the proxies by their fractions, without a guarantee that the parts sum exactly to the total.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SoftQuantityView {
    /// Its name.
    pub name: String,
    /// Total of all proxies, as this one estimates it.
    pub whole: f64,
    /// Allocation of this proxy.
    pub own: f64,
    /// Amount of this allocation in use.
    pub used: f64,
    /// Basis of the allocation.
    pub by: String,
}

/// A quantity that is leased among the proxies, in requests per second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseQuantityView {
    /// The region from which the requests are accepted.
    pub from: String,
    /// Limit of all proxies of this region together.
    pub whole: u32,
    /// Equal entitlement of each proxy.
    pub even: u32,
    /// Present limit of this proxy.
    pub usable: u32,
    /// Present demand at this proxy.
    pub need: u32,
    /// Amount leased to other proxies.
    pub given: u32,
    /// Amount borrowed from other proxies.
    pub taken: u32,
    /// Time to the earliest end of a borrowed lease.
    pub lease_left_us: Option<u64>,
}

/// The tier as observed by this proxy. The number of live members includes this proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipView {
    /// Index of this proxy in the configured list.
    pub place: u16,
    /// Boot number of this process, in hex.
    pub boot: String,
    /// Number of configured members.
    pub told: usize,
    /// Number of live members, including suspected ones.
    pub living: usize,
    /// Number of live members that are suspected.
    pub suspect: usize,
    /// Number of known members that are dead.
    pub dead: usize,
    /// Number of members that announced their departure.
    pub left: usize,
    /// Number of configured members that were never observed.
    pub unseen: usize,
    /// `most`: more than half of the configured members are live; `small`: at most half are live, but most of those ever
    /// observed are; `torn`: half or more of those ever observed are dead, as in a partition.
    pub shape: String,
    /// Whether more than half of the configured members are live.
    pub more_than_half: bool,
    /// Time since the set of live members last changed.
    pub unchanged_us: u64,
    /// Time since any member last acknowledged a probe of this proxy.
    pub answered_us: u64,
    /// Time since this process last resumed after a stall.
    pub awake_us: u64,
    /// Local health multiplier: factor by which this proxy extends its own timeouts, 1 to 4.
    pub health: u32,
    /// Sums of the signals of the live members.
    pub totals: SignalTotals,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams that the system did not accept.
    pub unsent: u64,
    /// Datagrams received.
    pub came: u64,
    /// Received datagrams that are malformed.
    pub garbled: u64,
    /// Received datagrams for another member, or from an address that is not the sender's.
    pub foreign: u64,
    /// Received datagrams without a valid authentication tag.
    pub forged: u64,
    /// Received datagrams that were rejected as replays.
    pub replayed: u64,
    /// Received datagrams from processes that had not proven to be alive.
    pub unproven: u64,
    /// Replies that the rate limit suppressed.
    pub over: u64,
    /// Probes of live members.
    pub asked: u64,
    /// Probes without any acknowledgement, direct or indirect.
    pub silent: u64,
    /// Suspicions of this process that it refuted.
    pub refuted: u64,
    /// Stalls of this process.
    pub stalls: u64,
    /// The configured members, by index.
    pub peers: Vec<MemberRow>,
}

/// Sums of the signals that the live members publish.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SignalTotals {
    /// Number of live members whose record is known.
    pub told: usize,
    /// Number of these records that are older than `older_than_us`.
    pub older: usize,
    /// Age above which a record counts as stale.
    pub older_than_us: u64,
    /// Age of the oldest record.
    pub oldest_us: u64,
    /// Arrivals per second, by class.
    pub arrivals_per_s: Vec<(String, f64)>,
    /// Number of open requests.
    pub held: f64,
    /// Requests per second that are rejected or fail.
    pub given_up_per_s: f64,
}

/// One member of the tier.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Its index in the configured list.
    pub place: u16,
    /// Its address.
    pub address: String,
    /// Its name; empty until it is received.
    pub name: String,
    /// Its zone; empty until it is received.
    pub zone: String,
    /// Whether it is this proxy.
    pub own: bool,
    /// `unseen`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Time of the last change of the state.
    pub since_us: u64,
    /// Boot number of its process, in hex; `None` until it is observed.
    pub boot: Option<String>,
    /// Incarnation of that process.
    pub incarnation: u32,
    /// Time since the last datagram received from it directly.
    pub heard_us: Option<u64>,
    /// Age of its record.
    pub record_age_us: Option<u64>,
    /// Whether two live processes claim the index.
    pub contested: bool,
}

/// The state of the detection of retry storms, updated a few times a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StormState {
    /// `calm`, `rising`, `storm` or `recovering`.
    pub state: String,
    /// Time of the last change of the state.
    pub since_us: u64,
    /// Number of storms so far.
    pub storms: u64,
    /// Request rate per second.
    pub per_s: f64,
    /// Baseline request rate per second, once it is known.
    pub usual_per_s: Option<f64>,
    /// Fraction of the requests that are retries.
    pub repeats: f64,
    /// Requests admitted per second, while a storm limits them.
    pub let_in_per_s: Option<f64>,
}

/// The state of the spillover to other regions, updated a few times a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RegionView {
    /// This region's name.
    pub name: String,
    /// `local`, `spilling` or `returning`.
    pub state: String,
    /// Time of the last change of the state; 0 before the first.
    pub since_us: u64,
    /// Ratio of the capacity of usable backends to the demand, at most 9.99.
    pub covered: f64,
    /// `auto`, `never` or `now`.
    pub switch: String,
    /// Expiry of the certificate in use.
    pub certificate_end_us: u64,
    /// Number of key changes since the start.
    pub keys_taken: u64,
    /// Number of sets of key files that were rejected.
    pub keys_refused: u64,
    /// Open connections from other regions.
    pub connections: usize,
    /// Failed handshakes, connections over the limit, and peers whose certificate matches no region.
    pub strangers: u64,
    /// Requests from gateways that were malformed or had already passed through this region.
    pub barred: u64,
    /// The other regions, in the order of the operator's file.
    pub others: Vec<OtherRegionView>,
}

/// One other region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OtherRegionView {
    /// Its name.
    pub name: String,
    /// Requests forwarded to it that are in flight, and their limit.
    pub in_flight: (u32, u32),
    /// Requests forwarded to it in this second, and their limit.
    pub per_s: (u32, u32),
    /// Requests forwarded to it.
    pub sent: u64,
    /// Forwarded requests that were executed there.
    pub ran: u64,
    /// Forwarded requests that were rejected there without being executed.
    pub not_run: u64,
    /// Forwarded requests that may have been executed there.
    pub may_have_run: u64,
    /// Requests not forwarded because they would loop or had no hop left.
    pub barred: u64,
    /// Requests not forwarded because less time remained than the hop takes.
    pub too_late: u64,
    /// Requests not forwarded because the budget was used up.
    pub over_budget: u64,
    /// Requests not forwarded during the backoff after a rejection or a failure.
    pub backed_off: u64,
    /// Overhead of a hop: a high quantile of the round trip, and the margin.
    pub trip_us: u64,
    /// End of the backoff.
    pub paused_until_us: Option<u64>,
    /// Requests from it that are in service, and their limit.
    pub taken_in_flight: (u32, u32),
    /// Requests accepted from it.
    pub taken: u64,
    /// Requests from it that were rejected because its budget was used up or their deadline had passed.
    pub refused: u64,
}

/// A value and its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gauge {
    /// The value.
    pub now: usize,
    /// Its limit.
    pub most: usize,
}

/// Version and age of the list of backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListState {
    /// Version of the last update that had one.
    pub index: Option<u64>,
    /// Time since the last update from discovery.
    pub age_us: Option<u64>,
}

/// The requests of a class: `taken` is the sum of `in_aim`, `late`, `refused`, `failed`, `left` and the open ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassState {
    /// Its name.
    pub name: String,
    /// Requests accepted by the driver.
    pub taken: u64,
    /// Requests served within the latency objective of the class.
    pub in_aim: u64,
    /// Requests served after it.
    pub late: u64,
    /// Requests rejected.
    pub refused: Rejections,
    /// Requests failed.
    pub failed: Failures,
    /// Requests whose client disconnected before the response.
    pub left: u64,
}

/// Rejections by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejections {
    /// Rejected by the balancer.
    pub module: u64,
    /// Rejected because more requests were open than the settings allow.
    pub open_cap: u64,
    /// Forwarded to other regions without being executed there.
    #[serde(default)]
    pub elsewhere: u64,
}

/// Failures by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// Failed by the balancer.
    pub module: u64,
    /// Failed because the balancer had not answered in its tick after the deadline.
    pub unanswered: u64,
    /// Failed because the balancer was restarted.
    pub restart: u64,
    /// Forwarded to another region, where they may have been executed.
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
    /// `ready`, `draining`, or `gone`: departed with attempts in flight.
    pub state: String,
    /// Start time of the backend, where the list has it.
    pub booted_us: Option<u64>,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Attempts so far.
    pub attempts: u64,
    /// Ended attempts by outcome; with those in flight they sum to `attempts`.
    pub outcomes: Vec<(String, u64)>,
    /// Mean latency of served attempts.
    pub latency_mean_us: Option<u64>,
    /// Median latency of served attempts; at most 42% too high.
    pub latency_p50_us: Option<u64>,
    /// 99th percentile of the latency of served attempts; at most 42% too high.
    pub latency_p99_us: Option<u64>,
    /// Its concurrency limit; absent until the balancer has reported one.
    #[serde(default)]
    pub limit: Option<LimitState>,
}
