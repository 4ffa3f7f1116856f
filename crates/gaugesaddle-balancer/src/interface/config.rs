//! Configuration of a proxy.

use super::units::{Micros, ZoneId};

/// Configuration of a proxy, constant while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Number of proxies that share the traffic, this one included.
    pub proxies: u32,
    /// Index of this proxy among them, from 0.
    pub position: u32,
    /// The proxy's own zone.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request over its tenant's quota, as a fraction of its class's priority weight.
    pub over_quota_weight_fraction: f64,
    /// Weight of the total traffic in the operator's goal function.
    pub goal_total: f64,
    /// Weight of the worst-served class in the operator's goal function.
    pub goal_worst_class: f64,
    /// Reduction of the goal function when every request crosses zones once.
    pub cross_zone_cost: f64,
    /// Source of the list of backends.
    pub discovery: Discovery,
    /// The list's weights are nominal size / (1 + requests in flight per core), updated with some delay.
    pub live_weights: bool,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// The shortest time between two timers.
    pub tick: Micros,
    /// Minimum fraction of its capacity that a backend has when it starts.
    pub initial_capacity: f64,
    /// Maximum duration of slow start: a backend has its full capacity after this time.
    pub slow_start: Micros,
    /// Overload at which a backend in slow start fails: work over [`fall_window`](Self::fall_window) as a multiple of
    /// its current capacity.
    pub fall_multiple: f64,
    /// Window over which that overload is measured.
    pub fall_window: Micros,
    /// The operator's bounds of the concurrency limits.
    pub limits: LimitBounds,
}

/// Bounds of the concurrency limit of one backend, in requests in flight of all proxies together. Equal bounds make
/// the limit constant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// Whether limits are learned. If not, each is the constant of four, clamped to `min` and `max`.
    pub learned: bool,
    /// Minimum of a learned limit.
    pub min: f64,
    /// Maximum of a learned limit.
    pub max: f64,
}

impl LimitBounds {
    /// Clamps a limit to these bounds.
    pub fn clamp(&self, limit: f64) -> f64 {
        limit.clamp(self.min, self.max)
    }
}

impl Default for LimitBounds {
    /// At least one request, since without requests nothing is learned; at most a thousand cores.
    fn default() -> LimitBounds {
        LimitBounds { learned: false, min: 1.0, max: 1000.0 }
    }
}

impl Config {
    /// A small valid configuration: one zone, three proxies and one idempotent class.
    pub fn example() -> Config {
        Config {
            proxies: 3,
            position: 0,
            zone: ZoneId(0),
            zones: 1,
            classes: vec![Class {
                latency_objective: Micros(500_000),
                objective_stretch: 0.0,
                effect: Effect::Free,
                priority_weight: 1.0,
                late_weight_fraction: 0.0,
            }],
            tenants: Vec::new(),
            over_quota_weight_fraction: 0.1,
            goal_total: 1.0,
            goal_worst_class: 0.0,
            cross_zone_cost: 0.0,
            discovery: Discovery::Push,
            live_weights: false,
            max_attempts: 3,
            cancel: true,
            hedging: true,
            tick: Micros(5_000),
            initial_capacity: 0.3,
            slow_start: Micros(10_000_000),
            fall_multiple: 3.0,
            fall_window: Micros(2_000_000),
            limits: LimitBounds::default(),
        }
    }

    /// Checks the ranges of the fields.
    ///
    /// # Errors
    /// Returns the first field that is out of its range.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let fraction = |x: f64| (0.0..=1.0).contains(&x);
        let above_zero = |x: f64| x > 0.0 && x.is_finite();
        let classes = &self.classes;
        let tests = [
            (self.proxies > 0, "proxies", "at least 1"),
            (self.position < self.proxies, "position", "less than proxies"),
            (self.zones > 0, "zones", "at least 1"),
            (!classes.is_empty(), "classes", "at least one class"),
            (classes.iter().all(|c| c.latency_objective.0 > 0), "aim", "a time above 0"),
            (classes.iter().all(|c| c.objective_stretch >= 0.0), "aim_stretch", "at least 0"),
            (classes.iter().all(|c| above_zero(c.priority_weight)), "worth", "a finite number above 0"),
            (
                classes.iter().all(|c| fraction(c.late_weight_fraction)),
                "late_worth",
                "a fraction from 0 to 1",
            ),
            (self.tenants.iter().all(|t| above_zero(t.quota_per_s)), "quota_per_s", "a finite rate above 0"),
            (fraction(self.over_quota_weight_fraction), "over_quota_worth", "a fraction from 0 to 1"),
            (fraction(self.goal_total), "goal_whole", "a fraction from 0 to 1"),
            (fraction(self.goal_worst_class), "goal_worst_class", "a fraction from 0 to 1"),
            (self.cross_zone_cost >= 0.0, "cross_zone_cost", "at least 0"),
            (self.max_attempts > 0, "max_attempts", "at least 1"),
            (self.tick.0 > 0, "tick", "a time above 0"),
            (fraction(self.initial_capacity), "cold_from", "a fraction from 0 to 1"),
            (above_zero(self.fall_multiple), "fall_multiple", "a finite number above 0"),
            (above_zero(self.limits.min), "limits.least", "a finite number above 0"),
            (self.limits.max >= self.limits.min, "limits.most", "no less than limits.least"),
        ];
        let failed = tests.into_iter().find(|t| !t.0);
        failed.map_or(Ok(()), |(_, field, expected)| Err(ConfigError { field, expected }))
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: an answer within this time has the full weight in the goal.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the request's work hint.
    pub objective_stretch: f64,
    /// Effect of running a request twice.
    pub effect: Effect,
    /// Priority weight: contribution of a served request to the goal.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after the objective has.
    pub late_weight_fraction: f64,
}

/// Effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: the request is idempotent and may be repeated or refused at any time.
    Free,
    /// The request has an idempotency key: for this time after the first send the backends of one scope discard
    /// repeated keys.
    Keyed(KeyScope, Micros),
    /// Harmful: the request must not run twice.
    Unsafe,
}

/// Scope within which backends discard repeated keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota: requests per second, over all proxies, that have the full weight.
    pub quota_per_s: f64,
}

/// Source of the list of backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// The host reports changes without a subscription.
    Push,
    /// The host reports changes after [`Action::SubscribeBackends`](super::Action::SubscribeBackends). A proxy that
    /// does not subscribe counts as informed of a change after this time.
    Subscribe(Micros),
}

/// An invalid value in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct ConfigError {
    /// The invalid setting, by its name in the operator's settings.
    pub field: &'static str,
    /// The expected value.
    pub expected: &'static str,
}
