//! Views of a proxy's state, for operators and for other decisions of the host.

use super::units::BackendId;

/// Reason for the last change of a backend's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitReason {
    /// The limit has its initial value: neither congestion nor demand for a higher limit was observed.
    Start,
    /// Raised, since a higher concurrency did not raise latency.
    Flat,
    /// Lowered, since a higher concurrency raised latency.
    Congested,
    /// At the operator's minimum or maximum.
    Bound,
    /// The limit is not learned.
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
    /// The backend.
    pub backend: BackendId,
    /// Limit of the requests in flight of all proxies together, as this proxy estimates it.
    pub limit: f64,
    /// Limit of this proxy.
    pub slots: u32,
    /// Requests of this proxy in flight.
    pub in_flight: u32,
    /// Mean latency of its recent answers, and mean unloaded latency of the same requests, in seconds.
    pub latency: Option<(f64, f64)>,
    /// Reason for the last change of the limit.
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
    /// Number of backends in use.
    pub backends: u32,
    /// Number of these that are unhealthy.
    pub unhealthy: u32,
    /// Capacity of the healthy ones for this proxy, in requests per second; infinite before any request was served.
    pub capacity_per_s: f64,
}

/// Reason for which a request was abandoned without being served here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// Load shedding rejected it.
    Shed,
    /// Only backends in slow start were left, and they were at their capacity.
    SlowStart,
    /// It exceeded its time in the queue or its deadline.
    QueueTimeout,
    /// Its attempts failed and no further attempt is allowed.
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
    /// Maximum number of attempts in flight.
    pub pool: f64,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Queued requests.
    pub queued: usize,
    /// Backends in use.
    pub ready: f64,
    /// The fraction of the traffic that has a backend, 0 to slightly above 1.
    pub routed_fraction: f64,
    /// Number of abandoned requests, by [`AbandonReason`].
    pub abandoned: [u64; 4],
}

impl std::fmt::Display for BalancerStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let BalancerStatus { rate, arrivals, admit, pool, in_flight, queued, ready, routed_fraction, .. } =
            self;
        let [shed, slow_start, late, exhausted] = self.abandoned;
        // The keys are read by operators' tools.
        write!(
            f,
            "rate={rate:.1} arrivals={arrivals:.1} admit={admit:.2} pool={pool:.2} out={in_flight} held={queued} \
             ready={ready:.0} pull={routed_fraction:.2} shed={shed} cold={slow_start} late={late} spent={exhausted}"
        )
    }
}
