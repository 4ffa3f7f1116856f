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
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(1_000_000_000 + ms * 1000)
    }

    fn seen(covered: f64) -> Capacity {
        Capacity { able: 100.0 * covered, demand: 100.0 }
    }

    /// Looks every 50 ms; the changes with their times.
    fn play(spill: &mut Spill, from: u64, to: u64, covered: impl Fn(u64) -> f64) -> Vec<(u64, State)> {
        let times = (from..to).step_by(50);
        times.filter_map(|ms| spill.look(at(ms), seen(covered(ms))).map(|l| (ms, l.to))).collect()
    }

    #[test]
    fn every_transition_after_its_own_time() {
        let mut spill = Spill::new(Thresholds::default());
        assert_eq!(play(&mut spill, 0, 1000, |_| 1.0), []);
        assert_eq!(play(&mut spill, 1000, 3000, |_| 0.0), [(1500, State::Spilling)], "local to spilling");
        assert_eq!(spill.open(at(3000), Switch::Auto), 1.0);
        assert_eq!(play(&mut spill, 3000, 6000, |_| 1.0), [(5000, State::Returning)], "to returning");
        assert!((spill.open(at(10_000), Switch::Auto) - 0.5).abs() < 1e-9, "half of the way back");
        assert_eq!(play(&mut spill, 6000, 7000, |_| 0.2), [(6250, State::Spilling)], "relapse");
        assert_eq!(play(&mut spill, 7000, 12_000, |_| 1.0), [(9000, State::Returning)]);
        assert_eq!(play(&mut spill, 12_000, 25_000, |_| 1.0), [(19_000, State::Local)], "home");
        assert_eq!(spill.open(at(25_000), Switch::Auto), 0.0);
    }

    #[test]
    fn a_fleet_that_flickers_at_the_edge_stays_where_it_is() {
        let mut spill = Spill::new(Thresholds::default());
        let flicker = |ms: u64| if (ms / 50) % 2 == 0 { 0.45 } else { 0.55 };
        assert_eq!(play(&mut spill, 0, 60_000, flicker), []);
        play(&mut spill, 60_000, 61_000, |_| 0.1);
        assert_eq!(spill.state(), State::Spilling);
        let flicker = |ms: u64| if (ms / 50) % 8 == 0 { 0.7 } else { 0.9 };
        assert_eq!(play(&mut spill, 61_000, 120_000, flicker), []);
    }

    #[test]
    fn one_bad_look_moves_nothing() {
        let mut spill = Spill::new(Thresholds::default());
        assert_eq!(play(&mut spill, 0, 10_000, |ms| if ms % 1000 < 400 { 0.0 } else { 1.0 }), []);
    }

    #[test]
    fn the_switch_goes_before_the_state() {
        let mut spill = Spill::new(Thresholds::default());
        assert_eq!(spill.open(at(0), Switch::Now), 1.0);
        play(&mut spill, 0, 1000, |_| 0.0);
        assert_eq!(spill.state(), State::Spilling);
        assert_eq!(spill.open(at(1000), Switch::Never), 0.0);
    }

    #[test]
    fn no_figure_and_no_clock_can_confuse_it() {
        let mut spill = Spill::new(Thresholds::default());
        let odd = [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300];
        for (i, able) in odd.iter().enumerate() {
            for demand in odd {
                spill.look(at(1000 + i as u64), Capacity { able: *able, demand });
                assert!(
                    spill.covered().is_finite() && (0.0..=1.0).contains(&spill.open(at(0), Switch::Auto))
                );
            }
        }
        let mut spill = Spill::new(Thresholds::default());
        play(&mut spill, 5000, 5200, |_| 0.0);
        assert_eq!(play(&mut spill, 0, 400, |_| 0.0), [], "time that goes back stands still");
        let idle = |able: f64| Capacity { able, demand: 0.0 };
        let mut spill = Spill::new(Thresholds::default());
        for n in 0..20 {
            spill.look(at(n * 50), idle(0.0));
        }
        assert_eq!(spill.state(), State::Spilling, "nobody asks and nobody could answer");
    }
}
