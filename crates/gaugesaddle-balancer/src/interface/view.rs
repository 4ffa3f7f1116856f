//! Views: the state of a proxy, for operators and for other decisions of the host.

use super::units::BackendId;

/// Why a backend's limit moved last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReason {
    /// No sign of congestion yet, and no demand for more.
    Start,
    /// Higher concurrency did not raise latency: a step up.
    Flat,
    /// Higher concurrency raised latency: a step down.
    Congested,
    /// The operator's minimum or maximum.
    Bound,
    /// It is not learned.
    Constant,
}

impl LimitReason {
    /// Its name, for operators.
    pub fn name(self) -> &'static str {
        match self {
            LimitReason::Start => "start",
            LimitReason::Flat => "flat",
            LimitReason::Congested => "crowded",
            LimitReason::Bound => "bound",
            LimitReason::Constant => "constant",
        }
    }
}

/// The limit of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitView {
    /// Which backend.
    pub backend: BackendId,
    /// Requests in flight of all proxies together, as this one knows it.
    pub limit: f64,
    /// Limit of this proxy.
    pub slots: u32,
    /// Requests of this proxy in flight.
    pub in_flight: u32,
    /// Latency of its recent answers, and unloaded latency of the same requests, in seconds.
    pub latency: Option<(f64, f64)>,
    /// Why the limit moved last.
    pub reason: LimitReason,
}

/// Capacity of the backends in use, and demand, in requests per second of this proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// Capacity; infinite before any request was served.
    pub capacity_per_s: f64,
    /// Demand of each class.
    pub demand_per_s: Vec<f64>,
}

/// The backends of one zone, as this proxy uses them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Those that it uses.
    pub backends: u32,
    /// Of these, how many are unhealthy.
    pub unhealthy: u32,
    /// Capacity of the others for this proxy, in requests per second; infinite before any was served.
    pub capacity_per_s: f64,
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// Load shedding did not admit it.
    Shed,
    /// Only backends in slow start remained for it, beyond their capacity.
    SlowStart,
    /// It was queued until it could no longer be served in time.
    Queued,
    /// Its attempts ended without an answer and none may follow.
    Exhausted,
}

/// The state of a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerStatus {
    /// Requests per second that were admitted.
    pub rate: f64,
    /// Requests per second that arrived.
    pub arrivals: f64,
    /// The fraction of the traffic that is admitted, 0 to 1.
    pub admit: f64,
    /// Limit of the attempts in flight.
    pub pool: f64,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Queued requests.
    pub queued: usize,
    /// Backends in use.
    pub ready: f64,
    /// The fraction of the traffic that has a backend, 0 to slightly above 1.
    pub routed_fraction: f64,
    /// Requests given up so far, by [`GivenUp`].
    pub given_up: [u64; 4],
}

impl std::fmt::Display for BalancerStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let BalancerStatus { rate, arrivals, admit, pool, in_flight, queued, ready, routed_fraction, .. } =
            self;
        let [shed, slow_start, late, exhausted] = self.given_up;
        // The keys are read by operators' tools.
        write!(
            f,
            "rate={rate:.1} arrivals={arrivals:.1} admit={admit:.2} pool={pool:.2} out={in_flight} held={queued} \
             ready={ready:.0} pull={routed_fraction:.2} shed={shed} cold={slow_start} late={late} spent={exhausted}"
        )
    }
}
