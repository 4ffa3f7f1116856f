//! Configuration: what a proxy is given at its start.

use super::units::{Micros, ZoneId};

/// What a proxy is given at its start.
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
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request over its tenant's quota, as a fraction of its class's priority weight.
    pub over_quota_weight_fraction: f64,
    /// Weight of the total traffic in the operator's goal.
    pub goal_total: f64,
    /// Weight of the worst-served class in the operator's goal.
    pub goal_worst_class: f64,
    /// Cost to the goal when every request crosses zones once.
    pub cross_zone_cost: f64,
    /// Where the list of backends comes from.
    pub discovery: Discovery,
    /// The list's weights are nominal size / (1 + requests in flight per core), with some delay.
    pub live_weights: bool,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// The shortest time between two timers.
    pub tick: Micros,
    /// Fraction of its capacity that a backend has at least when it starts.
    pub initial_capacity: f64,
    /// Longest slow start: a backend has its full capacity after this time.
    pub slow_start: Micros,
    /// A backend in slow start that gets more than this multiple of its current capacity ...
    pub fall_multiple: f64,
    /// ... over this time fails.
    pub fall_window: Micros,
    /// The operator's bounds of the learned limits.
    pub limits: LimitBounds,
}

/// Bounds of the limit of one backend, in requests in flight of all proxies together; equal bounds make it
/// constant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// Limits are learned; else each is the constant of four, no less than `min` and no more than `max`.
    pub learned: bool,
    /// Minimum of a learned limit.
    pub min: f64,
    /// Maximum of a learned limit.
    pub max: f64,
}

impl LimitBounds {
    /// The limit, clamped to these bounds.
    pub fn clamp(&self, limit: f64) -> f64 {
        limit.clamp(self.min, self.max)
    }
}

impl Default for LimitBounds {
    /// At least one request, since nothing is learned without; at most a thousand cores.
    fn default() -> LimitBounds {
        LimitBounds { learned: false, min: 1.0, max: 1000.0 }
    }
}

impl Config {
    /// A small valid configuration: one zone, three proxies, one class that is free to repeat.
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
    /// The first field that is out of its range.
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
    /// Latency objective: an answer within this time earns the full weight.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the request's work hint.
    pub objective_stretch: f64,
    /// What a second run would do.
    pub effect: Effect,
    /// Priority weight: what a served request earns.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after the objective earns.
    pub late_weight_fraction: f64,
}

/// What running a request twice does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing (idempotent): it may be repeated and refused at will.
    Free,
    /// The backends of one scope discard repeated keys for a time after the first send.
    Keyed(KeyScope, Micros),
    /// A second run does harm.
    Unsafe,
}

/// Which backends discard each other's repeated keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all proxies, that earn the full weight.
    pub quota_per_s: f64,
}

/// Where the list of backends comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Push,
    /// Changes arrive after [`Action::SubscribeBackends`](super::Action::SubscribeBackends); a proxy that does not subscribe counts
    /// as informed after this time.
    Subscribe(Micros),
}

/// Why a configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct ConfigError {
    /// The setting at fault, by the name that operators know.
    pub field: &'static str,
    /// What was expected of it.
    pub expected: &'static str,
}
