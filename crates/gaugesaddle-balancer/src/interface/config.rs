//! Configuration: what a proxy is given at its start.

use super::units::{Micros, ZoneId};

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
    /// Changes arrive after [`Action::Follow`](super::Action::Follow); a proxy that does not ask counts as told after this time.
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
