//! The limit search against a model of a kind's backends with realistic noise in the latencies. Failures guarded
//! against: the parallelism is not found, a bound is exceeded, or the limit does not follow a change.

use super::*;
use crate::estimates::Rng;

/// Backends with a number of cores; each request computes for `work` and waits for `wait` seconds.
#[derive(Clone, Copy)]
struct Model {
    cores: f64,
    work: f64,
    wait: f64,
    /// Requests in flight at one backend if there were no limit; above the limit there is overload.
    demand: f64,
}

impl Model {
    /// Mean latency of a backend with a constant number of requests in flight; waiting requests use no core.
    fn latency(&self, in_flight: f64) -> f64 {
        let (mut low, mut high) =
            (self.work + self.wait, self.wait + self.work * (1.0 + in_flight / self.cores));
        for _ in 0..60 {
            let latency = (low + high) / 2.0;
            let computing = in_flight * (latency - self.wait) / latency;
            if self.wait + self.work * (computing / self.cores).max(1.0) > latency {
                low = latency;
            } else {
                high = latency;
            }
        }
        (low + high) / 2.0
    }
}

const TURN_LENGTH: Micros = Micros(1_000_000);

struct Simulation {
    search: LimitSearch,
    bounds: LimitBounds,
    rng: Rng,
    turn_number: u64,
    /// The largest limit so far.
    max_limit: f64,
}

impl Simulation {
    fn new(seed: u64, bounds: LimitBounds) -> Simulation {
        Simulation {
            search: LimitSearch::default(),
            bounds,
            rng: Rng::new(seed),
            turn_number: 1000,
            max_limit: 0.0,
        }
    }

    /// Runs turns of a fleet of eight backends with exponentially distributed latencies (coefficient of variation 1).
    /// Returns the limit at the end.
    fn run_turns(&mut self, model: Model, turns: usize) -> f64 {
        for _ in 0..turns {
            self.turn_number += 1;
            let usual = model.latency(model.demand.min(self.search.limit(Turn::Even)));
            // Several updates per turn, as a proxy solves several times in each.
            for step in 0..4 {
                let now =
                    Time(self.turn_number * TURN_LENGTH.0 + step * TURN_LENGTH.0 / 4 + TURN_LENGTH.0 / 8);
                for backend in 0..TURN_CYCLE {
                    let (_, turn_kind, settled) = turn(now, BackendId(backend * 7919), TURN_LENGTH);
                    let in_flight = model.demand.min(self.search.limit(turn_kind));
                    let latency = model.latency(in_flight);
                    if settled {
                        self.search.record_load(turn_kind, in_flight * 0.25, 0.25);
                    }
                    for _ in 0..((in_flight / latency * 0.25) as usize).clamp(1, 200) {
                        let sample = latency * -(1.0 - self.rng.unit()).max(1e-9).ln();
                        self.search.record_latency(settled.then_some(turn_kind), sample / usual);
                    }
                }
                self.search.update(&self.bounds);
            }
            self.max_limit = self.max_limit.max(self.search.limit(Turn::Even));
            assert!(self.search.limit(Turn::Even) <= self.bounds.max.max(BASE_LIMIT));
            assert!(self.search.limit(Turn::Even) >= BASE_LIMIT.min(self.bounds.max));
        }
        self.search.limit(Turn::Even)
    }
}

const LEARNED: LimitBounds = LimitBounds { learned: true, min: 1.0, max: 1000.0 };

#[test]
fn limit_never_rises_for_one_cpu_bound_core() {
    for seed in 1..=20 {
        for demand in [1.0, 3.0, 100.0] {
            let mut simulation = Simulation::new(seed, LEARNED);
            let end = simulation.run_turns(Model { cores: 1.0, work: 0.03, wait: 0.0, demand }, 100);
            assert!(
                end == BASE_LIMIT && simulation.max_limit <= 2.0 * BASE_LIMIT,
                "seed {seed}, demand {demand}: limit {end}, maximum {}",
                simulation.max_limit
            );
        }
    }
}

#[test]
fn parallelism_is_found_and_overload_stays_bounded() {
    for seed in 1..=20 {
        for (cores, work, wait, demand, min, max) in [
            (8.0, 0.02, 0.0, 6.0, 6.0, 24.0),
            (8.0, 0.02, 0.0, 1000.0, 7.0, 24.0),
            (64.0, 0.1, 0.0, 1000.0, 50.0, 200.0),
            (1.0, 0.02, 0.15, 8.0, 7.0, 40.0),
            (1.0, 0.005, 0.5, 80.0, 70.0, 1000.0),
        ] {
            let end = Simulation::new(seed, LEARNED).run_turns(Model { cores, work, wait, demand }, 60);
            assert!(
                (min..=max).contains(&end),
                "seed {seed}, {cores} cores, wait {wait}, demand {demand}: limit {end}"
            );
        }
    }
}

#[test]
fn limit_follows_a_change_of_parallelism() {
    for seed in 1..=20 {
        let mut simulation = Simulation::new(seed, LEARNED);
        let many_cores = Model { cores: 8.0, work: 0.02, wait: 0.0, demand: 1000.0 };
        let one_core = Model { cores: 1.0, ..many_cores };
        let found = simulation.run_turns(many_cores, 60);
        assert!(found >= 7.0, "seed {seed}: limit {found} with eight cores");
        let lowered = simulation.run_turns(one_core, 60);
        assert!(lowered <= 6.0, "seed {seed}: limit {lowered} with one core");
        let recovered = simulation.run_turns(many_cores, 100);
        assert!(recovered >= 6.5, "seed {seed}: limit {recovered} with eight cores again");
        // At low load nothing is learned: the limit stays.
        let at_low_load = simulation.run_turns(Model { demand: 1.0, ..many_cores }, 60);
        assert!(
            (at_low_load - recovered).abs() < recovered / 2.0,
            "seed {seed}: limit {recovered} before, {at_low_load} at low load"
        );
    }
}

#[test]
fn operator_bounds_are_respected() {
    let bounds = LimitBounds { learned: true, min: 1.0, max: 6.0 };
    let end =
        Simulation::new(1, bounds).run_turns(Model { cores: 64.0, work: 0.1, wait: 0.0, demand: 1000.0 }, 60);
    assert!((5.0..=6.0).contains(&end), "{end}");
    let bounds = LimitBounds { learned: true, min: 10.0, max: 50.0 };
    let end =
        Simulation::new(1, bounds).run_turns(Model { cores: 1.0, work: 0.1, wait: 0.0, demand: 1000.0 }, 60);
    assert!((10.0..=50.0).contains(&end), "{end}");
}

/// At any time some backends have a higher turn and some a lower one, and none has two higher turns in a row.
#[test]
fn turns_are_spread_over_backends_and_time() {
    for number in 0..50u64 {
        let now = Time(number * TURN_LENGTH.0 + 999_999);
        let turn = |now, id: u64| super::turn(now, BackendId(id * 7919), TURN_LENGTH).1;
        let all: Vec<Turn> = (0..400).map(|id| turn(now, id)).collect();
        for turn_kind in [Turn::Higher, Turn::Lower] {
            let count = all.iter().filter(|t| **t == turn_kind).count();
            assert!((20..90).contains(&count), "{count} of 400 backends have the same turn");
        }
        let next = turn(Time(now.0 + TURN_LENGTH.0), number);
        assert!(next != Turn::Higher || turn(now, number) != Turn::Higher);
    }
}
