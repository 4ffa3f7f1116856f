//! Whether the local fleet can serve its demand, as one proxy sees it.

use gaugesaddle_balancer::{Micros, Time};

/// Below this demand, in requests per second, coverage cannot be estimated.
const MIN_DEMAND_PER_S: f64 = 0.5;
/// Lower bound of the return's duration, in seconds: a guard against division by zero.
const MIN_RETURN_S: f64 = 1e-6;

/// The balancer's estimates for one proxy, over all its backends: no single failure shows here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetCapacity {
    /// What usable backends can serve for it, in requests per second.
    pub capacity_per_s: f64,
    /// What arrives at it, in requests per second.
    pub demand_per_s: f64,
}

/// When the state changes. Coverage is capacity over demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpilloverThresholds {
    /// Coverage below this is insufficient.
    pub low_coverage: f64,
    /// Coverage from this on is sufficient; above `low_coverage`.
    pub high_coverage: f64,
    /// Insufficient for this long: spillover starts.
    pub enter_after: Micros,
    /// Sufficient for this long: the return starts.
    pub leave_after: Micros,
    /// Insufficient for this long during the return: spillover starts again.
    pub relapse_after: Micros,
    /// Duration of the return.
    pub return_duration: Micros,
}

impl Default for SpilloverThresholds {
    fn default() -> SpilloverThresholds {
        // Above a half the balancer serves the highest priority weights by itself. The balancer needs some hundred
        // milliseconds to detect an unhealthy backend; an uncached fleet warms up in about ten seconds.
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

/// What a proxy does with requests that its fleet cannot serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpilloverState {
    /// Nothing is sent to other regions.
    Local,
    /// What the balancer would reject may be sent.
    Spilling,
    /// A decreasing fraction of it may be sent.
    Returning,
}

impl SpilloverState {
    /// For operators.
    pub fn name(self) -> &'static str {
        match self {
            SpilloverState::Local => "local",
            SpilloverState::Spilling => "spilling",
            SpilloverState::Returning => "returning",
        }
    }
}

/// The operators' setting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SpilloverMode {
    /// By the thresholds.
    #[default]
    Auto,
    /// Nothing is sent.
    Never,
    /// An exercise: what the balancer would reject may be sent, and a fraction of all requests besides.
    Now,
}

/// A change of state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Transition {
    /// State before it.
    pub from: SpilloverState,
    /// State after it.
    pub to: SpilloverState,
    /// Coverage at that moment.
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
///                 `return_duration` has passed and still sufficient
/// ```
///
/// Between the two thresholds nothing changes, and each interruption restarts the time, so a fleet that flaps around a
/// threshold stays in its state.
///
/// While returning, the fraction that may be sent falls linearly to 0. That bounds how fast load comes back; how much a
/// warming backend gets of it is the balancer's own slow start.
#[derive(Clone, Debug)]
pub struct Spillover {
    thresholds: SpilloverThresholds,
    state: SpilloverState,
    /// Start of the state.
    since: Time,
    /// Start of the present uninterrupted insufficiency.
    insufficient_since: Option<Time>,
    /// Start of the present uninterrupted sufficiency.
    sufficient_since: Option<Time>,
    coverage: f64,
    /// Latest time seen: time that goes back counts as standing still.
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

    /// Takes an observation of the fleet; expected several times within the shortest threshold.
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
            return; // unknown: the last one stays
        }
        self.coverage = if demand_per_s < MIN_DEMAND_PER_S {
            // Without demand any capacity suffices, and none does not: the first request would find no backend.
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

    /// The present state.
    pub fn state(&self) -> SpilloverState {
        self.state
    }

    /// Start of the present state.
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
