//! The state machine with which one proxy decides, from the local fleet's capacity and demand, whether requests may be
//! forwarded to other regions.

use gaugesaddle_balancer::{Micros, Time};

/// Below this demand, in requests per second, coverage cannot be estimated.
const MIN_DEMAND_PER_S: f64 = 0.5;
/// Lower bound of the return duration, in seconds; prevents a division by zero.
const MIN_RETURN_S: f64 = 1e-6;

/// The balancer's estimates for one proxy, aggregated over all its backends: the failure of a single backend is not
/// visible in them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetCapacity {
    /// Capacity of the usable backends that is available to this proxy, in requests per second.
    pub capacity_per_s: f64,
    /// Arrival rate at this proxy, in requests per second.
    pub demand_per_s: f64,
}

/// Thresholds and durations of the state transitions. Coverage is capacity divided by demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpilloverThresholds {
    /// Coverage below this is insufficient.
    pub low_coverage: f64,
    /// Coverage at or above this is sufficient; greater than `low_coverage`.
    pub high_coverage: f64,
    /// Spillover starts after coverage has been insufficient for this long.
    pub enter_after: Micros,
    /// The return starts after coverage has been sufficient for this long.
    pub leave_after: Micros,
    /// During the return, spillover restarts after coverage has been insufficient for this long.
    pub relapse_after: Micros,
    /// Duration of the return.
    pub return_duration: Micros,
}

impl Default for SpilloverThresholds {
    fn default() -> SpilloverThresholds {
        // With a coverage above 0.5 the balancer alone can serve the requests of the highest priority weights. It detects
        // an unhealthy backend within a few hundred milliseconds; a fleet with cold caches warms up in about ten seconds.
        SpilloverThresholds {
            low_coverage: 0.5,
            high_coverage: 0.8,
            enter_after: Micros(500_000),
            leave_after: Micros(2_000_000),
            relapse_after: Micros(250_000),
            return_duration: Micros(10_000_000),
        }
    }
}

/// How a proxy handles requests that its local fleet cannot serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpilloverState {
    /// No request is sent to other regions.
    Local,
    /// Requests that the balancer would reject may be sent.
    Spilling,
    /// Requests that the balancer would reject may be sent, within a decreasing fraction of the budget.
    Returning,
}

impl SpilloverState {
    /// Name in the operator's state output.
    pub fn name(self) -> &'static str {
        match self {
            SpilloverState::Local => "local",
            SpilloverState::Spilling => "spilling",
            SpilloverState::Returning => "returning",
        }
    }
}

/// The operator's setting for spillover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpilloverMode {
    /// Follows the state, which the thresholds determine.
    #[default]
    Auto,
    /// No request is sent to other regions.
    Never,
    /// Failover exercise: requests that the balancer would reject may be sent, and also a fraction of all requests.
    Now,
}

/// A state transition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transition {
    /// The previous state.
    pub from: SpilloverState,
    /// The new state.
    pub to: SpilloverState,
    /// Coverage at the transition.
    pub coverage: f64,
}

/// The spillover state of one proxy.
///
/// ```text
///             insufficient for                   sufficient for
///              `enter_after`                     `leave_after`
///   Local ──────────────────────► Spilling ──────────────────────► Returning
///     ▲                              ▲                              │     │
///     │                              └──────────────────────────────┘     │
///     │                            insufficient for `relapse_after`       │
///     └───────────────────────────────────────────────────────────────────┘
///                 `return_duration` has passed and coverage is sufficient
/// ```
///
/// Coverage between the two thresholds is neither sufficient nor insufficient, and each interruption restarts the
/// measured duration, so coverage that flaps around a threshold causes no transition.
///
/// While returning, the usable fraction of the budget decreases linearly to 0. This limits the rate at which load returns
/// to the local fleet; the balancer's slow start limits the part of it that a warming backend receives.
#[derive(Clone, Debug)]
pub struct Spillover {
    thresholds: SpilloverThresholds,
    state: SpilloverState,
    /// Start of the current state.
    since: Time,
    /// Start of the current uninterrupted period of insufficient coverage.
    insufficient_since: Option<Time>,
    /// Start of the current uninterrupted period of sufficient coverage.
    sufficient_since: Option<Time>,
    coverage: f64,
    /// Latest observed time; an earlier `now` is replaced by it.
    now: Time,
}

impl Spillover {
    /// Starts in [`SpilloverState::Local`].
    pub fn new(thresholds: SpilloverThresholds) -> Spillover {
        Spillover {
            thresholds,
            state: SpilloverState::Local,
            since: Time(0),
            insufficient_since: None,
            sufficient_since: None,
            coverage: 1.0,
            now: Time(0),
        }
    }

    /// Records an observation of the fleet and returns the state transition that it causes. The caller observes several
    /// times within the shortest of the threshold durations.
    pub fn observe(&mut self, now: Time, fleet: FleetCapacity) -> Option<Transition> {
        self.now = self.now.max(now);
        let now = self.now;
        self.update_coverage(fleet);
        let started = |since: Option<Time>, holds: bool| holds.then(|| since.unwrap_or(now));
        let is_insufficient = self.coverage < self.thresholds.low_coverage;
        self.insufficient_since = started(self.insufficient_since, is_insufficient);
        let is_sufficient = self.coverage >= self.thresholds.high_coverage;
        self.sufficient_since = started(self.sufficient_since, is_sufficient);
        let (from, to) = (self.state, self.next_state());
        if from == to {
            return None;
        }
        self.state = to;
        self.since = now;
        Some(Transition { from, to, coverage: self.coverage })
    }

    fn update_coverage(&mut self, fleet: FleetCapacity) {
        let FleetCapacity { capacity_per_s, demand_per_s } = fleet;
        if !capacity_per_s.is_finite() || !demand_per_s.is_finite() {
            return; // the coverage is unknown: the last value remains
        }
        self.coverage = if demand_per_s < MIN_DEMAND_PER_S {
            // Without demand any capacity above zero is sufficient. Zero capacity is not: no backend could serve the first
            // request.
            f64::from(capacity_per_s > 0.0)
        } else {
            (capacity_per_s / demand_per_s).max(0.0)
        };
    }

    fn next_state(&self) -> SpilloverState {
        let SpilloverThresholds { enter_after, leave_after, relapse_after, return_duration, .. } =
            self.thresholds;
        let lasted =
            |since: Option<Time>, duration: Micros| since.is_some_and(|at| self.now - at >= duration);
        let is_return_over = self.now - self.since >= return_duration;
        match self.state {
            SpilloverState::Local if lasted(self.insufficient_since, enter_after) => SpilloverState::Spilling,
            SpilloverState::Spilling if lasted(self.sufficient_since, leave_after) => {
                SpilloverState::Returning
            }
            SpilloverState::Returning if lasted(self.insufficient_since, relapse_after) => {
                SpilloverState::Spilling
            }
            SpilloverState::Returning if is_return_over && self.sufficient_since.is_some() => {
                SpilloverState::Local
            }
            unchanged => unchanged,
        }
    }

    /// The current state.
    pub fn state(&self) -> SpilloverState {
        self.state
    }

    /// Start of the current state.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Capacity over demand, as last observed.
    pub fn coverage(&self) -> f64 {
        self.coverage
    }

    /// The fraction of the budget that may be used, 0 to 1.
    pub fn budget_fraction(&self, now: Time, mode: SpilloverMode) -> f64 {
        match (mode, self.state) {
            (SpilloverMode::Never, _) => 0.0,
            (SpilloverMode::Now, _) | (SpilloverMode::Auto, SpilloverState::Spilling) => 1.0,
            (SpilloverMode::Auto, SpilloverState::Local) => 0.0,
            (SpilloverMode::Auto, SpilloverState::Returning) => {
                let elapsed_s = (self.now.max(now) - self.since).secs();
                let duration_s = self.thresholds.return_duration.secs().max(MIN_RETURN_S);
                (1.0 - elapsed_s / duration_s).clamp(0.0, 1.0)
            }
        }
    }
}

#[cfg(test)]
mod tests;
