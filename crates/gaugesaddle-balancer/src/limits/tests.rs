//! The search for a limit against a model of a kind's backends: it finds their parallelism, respects its bounds, and
//! recovers after each disturbance, with realistic noise in the latencies.

use super::*;
use crate::estimates::Rng;

/// Backends with a number of cores, whose requests compute and wait for given times in seconds.
#[derive(Clone, Copy)]
struct Model {
    cores: f64,
    work: f64,
    wait: f64,
    /// Requests in flight at one backend without any limit; above the limit there is overload.
    demand: f64,
}

impl Model {
    /// Mean latency of a backend with a constant number in flight: waiting requests use no core.
    fn latency(&self, held: f64) -> f64 {
        let (mut low, mut high) = (self.work + self.wait, self.wait + self.work * (1.0 + held / self.cores));
        for _ in 0..60 {
            let latency = (low + high) / 2.0;
            let working = held * (latency - self.wait) / latency;
            if self.wait + self.work * (working / self.cores).max(1.0) > latency {
                low = latency;
            } else {
                high = latency;
            }
        }
        (low + high) / 2.0
    }
}

const LENGTH: Micros = Micros(1_000_000);

struct Run {
    search: Search,
    bounds: LimitBounds,
    rng: Rng,
    turn: u64,
    /// The largest limit so far.
    most: f64,
}

impl Run {
    fn new(seed: u64, bounds: LimitBounds) -> Run {
        Run { search: Search::default(), bounds, rng: Rng::new(seed), turn: 1000, most: 0.0 }
    }

    /// Turns of a fleet of eight backends, each answering by its latency with a heavy tail (exponential, cv 1).
    fn play(&mut self, model: Model, turns: usize) -> f64 {
        for _ in 0..turns {
            self.turn += 1;
            let usual = model.latency(model.demand.min(self.search.limit(Turn::Even)));
            // A few looks in a turn, as a proxy solves a few times in each.
            for step in 0..4 {
                let now = Time(self.turn * LENGTH.0 + step * LENGTH.0 / 4 + LENGTH.0 / 8);
                for place in 0..TURNS {
                    let (_, kind, settled) = turn(now, BackendId(place * 7919), LENGTH);
                    let held = model.demand.min(self.search.limit(kind));
                    let latency = model.latency(held);
                    if settled {
                        self.search.record_load(kind, held * 0.25, 0.25);
                    }
                    for _ in 0..((held / latency * 0.25) as usize).clamp(1, 200) {
                        let drawn = latency * -(1.0 - self.rng.unit()).max(1e-9).ln();
                        self.search.answered(settled.then_some(kind), drawn / usual);
                    }
                }
                self.search.look(&self.bounds);
            }
            self.most = self.most.max(self.search.limit(Turn::Even));
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
            let mut run = Run::new(seed, LEARNED);
            let end = run.play(Model { cores: 1.0, work: 0.03, wait: 0.0, demand }, 100);
            assert!(
                end == BASE_LIMIT && run.most <= 2.0 * BASE_LIMIT,
                "{seed} {demand}: {end}, {} at the most",
                run.most
            );
        }
    }
}

#[test]
fn parallelism_is_found_and_overload_stays_bounded() {
    for seed in 1..=20 {
        for (cores, work, wait, demand, least, most) in [
            (8.0, 0.02, 0.0, 6.0, 6.0, 24.0),
            (8.0, 0.02, 0.0, 1000.0, 7.0, 24.0),
            (64.0, 0.1, 0.0, 1000.0, 50.0, 200.0),
            (1.0, 0.02, 0.15, 8.0, 7.0, 40.0),
            (1.0, 0.005, 0.5, 80.0, 70.0, 1000.0),
        ] {
            let end = Run::new(seed, LEARNED).play(Model { cores, work, wait, demand }, 60);
            assert!((least..=most).contains(&end), "{seed}: {cores} cores, wait {wait}, {demand}: {end}");
        }
    }
}

#[test]
fn limit_follows_a_change_of_parallelism() {
    for seed in 1..=20 {
        let mut run = Run::new(seed, LEARNED);
        let wide = Model { cores: 8.0, work: 0.02, wait: 0.0, demand: 1000.0 };
        let narrow = Model { cores: 1.0, ..wide };
        let found = run.play(wide, 60);
        assert!(found >= 7.0, "{seed}: {found}");
        let held = run.play(narrow, 60);
        assert!(held <= 6.0, "{seed}: {held}");
        let back = run.play(wide, 100);
        assert!(back >= 6.5, "{seed}: {back}");
        // At low load nothing is learned: the limit stays.
        let calm = run.play(Model { demand: 1.0, ..wide }, 60);
        assert!((calm - back).abs() < back / 2.0, "{seed}: {back} to {calm}");
    }
}

#[test]
fn operator_bounds_are_respected() {
    let bounds = LimitBounds { learned: true, min: 1.0, max: 6.0 };
    let end = Run::new(1, bounds).play(Model { cores: 64.0, work: 0.1, wait: 0.0, demand: 1000.0 }, 60);
    assert!((5.0..=6.0).contains(&end), "{end}");
    let bounds = LimitBounds { learned: true, min: 10.0, max: 50.0 };
    let end = Run::new(1, bounds).play(Model { cores: 1.0, work: 0.1, wait: 0.0, demand: 1000.0 }, 60);
    assert!((10.0..=50.0).contains(&end), "{end}");
}

/// At any time some backends have a higher or lower turn, and none has two higher ones in a row.
#[test]
fn turns_are_spread_over_backends_and_time() {
    for number in 0..50u64 {
        let now = Time(number * LENGTH.0 + 999_999);
        let turn = |now, id: u64| super::turn(now, BackendId(id * 7919), LENGTH).1;
        let all: Vec<Turn> = (0..400).map(|id| turn(now, id)).collect();
        for kind in [Turn::More, Turn::Less] {
            let count = all.iter().filter(|t| **t == kind).count();
            assert!((20..90).contains(&count), "{count} of 400 at once");
        }
        let next = turn(Time(now.0 + LENGTH.0), number);
        assert!(next != Turn::More || turn(now, number) != Turn::More);
    }
}
