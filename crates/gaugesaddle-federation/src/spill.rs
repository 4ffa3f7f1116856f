//! Whether the local fleet is able to serve, as one proxy sees it.
//!
//! ```text
//!            short for `enter`                 able for `leave`
//!   Local ──────────────────────► Spilling ──────────────────────► Returning
//!     ▲                              ▲                              │     │
//!     │                              └──────────────────────────────┘     │
//!     │                                     short for `relapse`           │
//!     └───────────────────────────────────────────────────────────────────┘
//!                        `back` has passed and able still
//! ```
//!
//! Short: usable capacity is under `low` of the demand. Able: it is at least `high` of it. Between the two nothing
//! moves, and a moment of either is forgotten, so a fleet that flickers at the rule's edge stays where it is. Capacity
//! and demand are the module's estimates over all its backends: no single failure is seen here.
//!
//! In Returning what may leave shrinks evenly to nothing over `back`. That bounds how fast work comes home; how much
//! a cold backend then gets is the module's own budget, which nothing here touches.

use gaugesaddle_balancer::{Micros, Time};

/// What the module knows of the fleet, for one proxy: requests a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// That usable backends can do for it.
    pub able: f64,
    /// That come to it.
    pub demand: f64,
}

/// The rule's figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// Capacity under this part of the demand is short.
    pub low: f64,
    /// From this part on it is enough again; above `low`.
    pub high: f64,
    /// Short for so long: spilling begins.
    pub enter: Micros,
    /// Enough for so long: it ends.
    pub leave: Micros,
    /// Short for so long while returning: it begins anew.
    pub relapse: Micros,
    /// What may leave shrinks to nothing over this time.
    pub back: Micros,
}

impl Default for Thresholds {
    fn default() -> Thresholds {
        // A half: above it the module serves what is worth most by itself. Times: a look at an ill backend takes the
        // module some hundred milliseconds; a cold fleet is warm after some ten seconds.
        Thresholds {
            low: 0.5,
            high: 0.8,
            enter: Micros(500_000),
            leave: Micros(2_000_000),
            relapse: Micros(250_000),
            back: Micros(10_000_000),
        }
    }
}

/// What a proxy does with requests that its fleet can't serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing leaves.
    Local,
    /// What the module would give up may leave.
    Spilling,
    /// Ever less of it.
    Returning,
}

impl State {
    /// For people.
    pub fn name(self) -> &'static str {
        match self {
            State::Local => "local",
            State::Spilling => "spilling",
            State::Returning => "returning",
        }
    }
}

/// The operators' switch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Switch {
    /// By the rule.
    #[default]
    Auto,
    /// Nothing leaves, whatever comes.
    Never,
    /// What the module would give up may leave, and a part of all besides: an exercise.
    Now,
}

/// A change of state and what made it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Look {
    /// Before it.
    pub from: State,
    /// After it.
    pub to: State,
    /// Capacity beside demand at that moment.
    pub covered: f64,
}

/// The state of one proxy.
#[derive(Clone, Debug)]
pub struct Spill {
    thresholds: Thresholds,
    state: State,
    /// Since when it is in that state, and short or able without a break.
    since: Time,
    short: Option<Time>,
    able: Option<Time>,
    covered: f64,
    clock: Time,
}

/// Under so few requests a second nothing can be told, and nothing is at stake.
const LEAST_DEMAND: f64 = 0.5;

impl Spill {
    /// One that serves locally.
    pub fn new(thresholds: Thresholds) -> Spill {
        Spill {
            thresholds,
            state: State::Local,
            since: Time(0),
            short: None,
            able: None,
            covered: 1.0,
            clock: Time(0),
        }
    }

    /// Looks at the fleet; a few times in the shortest of the rule's times.
    pub fn look(&mut self, now: Time, seen: Capacity) -> Option<Look> {
        self.clock = self.clock.max(now);
        let now = self.clock;
        let known = seen.able.is_finite() && seen.demand.is_finite();
        let idle = seen.demand < LEAST_DEMAND;
        self.covered = match (known, idle) {
            (true, false) => (seen.able / seen.demand).max(0.0),
            // No demand: what there is decides, for the first request may find nobody.
            (true, true) => f64::from(seen.able > 0.0),
            (false, _) => self.covered,
        };
        let Thresholds { low, high, enter, leave, relapse, back } = self.thresholds;
        let keep = |since: Option<Time>, holds: bool| holds.then(|| since.unwrap_or(now));
        self.short = keep(self.short, self.covered < low);
        self.able = keep(self.able, self.covered >= high);
        let lasted = |since: Option<Time>, span: Micros| since.is_some_and(|at| now - at >= span);
        let next = match self.state {
            State::Local if lasted(self.short, enter) => State::Spilling,
            State::Spilling if lasted(self.able, leave) => State::Returning,
            State::Returning if lasted(self.short, relapse) => State::Spilling,
            State::Returning if now - self.since >= back && self.able.is_some() => State::Local,
            same => same,
        };
        (next != self.state).then(|| {
            let look = Look { from: self.state, to: next, covered: self.covered };
            (self.state, self.since) = (next, now);
            look
        })
    }

    /// The state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Since when.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Capacity beside demand, as last seen.
    pub fn covered(&self) -> f64 {
        self.covered
    }

    /// The part of the budget that may be used, 0 to 1.
    pub fn open(&self, now: Time, switch: Switch) -> f64 {
        match (switch, self.state) {
            (Switch::Never, _) => 0.0,
            (Switch::Now, _) | (_, State::Spilling) => 1.0,
            (_, State::Local) => 0.0,
            (_, State::Returning) => {
                let passed = (self.clock.max(now) - self.since).secs();
                (1.0 - passed / self.thresholds.back.secs().max(1e-6)).clamp(0.0, 1.0)
            }
        }
    }
}

#[cfg(test)]
mod tests;
