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
    /// Worth of a request over its tenant's quota, as a fraction of its class's worth.
    pub over_quota_worth: f64,
    /// Weight of the total traffic in the operator's goal.
    pub goal_whole: f64,
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
    pub second_copies: bool,
    /// The shortest time between two timers.
    pub tick: Micros,
    /// Fraction of its capacity that a backend has at least when it starts.
    pub cold_from: f64,
    /// Longest slow start: a backend is warm after this time.
    pub ramp: Micros,
    /// A cold backend that gets more than this multiple of its current capacity ...
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
    /// Limits are learned; else each is the constant of four, no less than `least` and no more than `most`.
    pub learned: bool,
    /// Minimum of a learned limit.
    pub least: f64,
    /// Maximum of a learned limit.
    pub most: f64,
}

impl LimitBounds {
    /// The limit, clamped to these bounds.
    pub fn clamp(&self, limit: f64) -> f64 {
        limit.clamp(self.least, self.most)
    }
}

impl Default for LimitBounds {
    /// At least one request, since nothing is learned without; at most a thousand cores.
    fn default() -> LimitBounds {
        LimitBounds { learned: false, least: 1.0, most: 1000.0 }
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

    /// Checks the ranges of the fields.
    ///
    /// # Errors
    /// The first field that is out of its range.
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

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: an answer within this time earns the full worth.
    pub aim: Micros,
    /// The objective grows by this multiple of the request's work hint.
    pub aim_stretch: f64,
    /// What a second run would do.
    pub effect: Effect,
    /// Priority weight: the worth of a request.
    pub worth: f64,
    /// Fraction of the worth after the objective.
    pub late_worth: f64,
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
    /// Requests per second, over all proxies, that earn the full worth.
    pub quota_per_s: f64,
}

/// Where the list of backends comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Push,
    /// Changes arrive after [`Action::Follow`](super::Action::Follow); a proxy that does not subscribe counts
    /// as informed after this time.
    Subscribe(Micros),
}

/// Why a configuration is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: expected {expected}")]
pub struct ConfigError {
    /// The field at fault.
    pub field: &'static str,
    /// What was expected of it.
    pub expected: &'static str,
}
