//! Learned concurrency limits compared with the plain relay, a constant limit of 4 and the best constant limit of each
//! cell, over a grid of fleets in virtual time.

use gaugesaddle_balancer::LimitBounds;
use gaugesaddle_proxy_simulation::{simulate, Policy, Report};
use gaugesaddle_testbed::scenario::{Class, Clients, Effect, Kind};
use gaugesaddle_testbed::Scenario;
use serde_json::{json, Value};
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Constant limits that are tried in each cell.
const CONSTANT_LIMITS: [f64; 8] = [2.0, 4.0, 6.0, 12.0, 24.0, 64.0, 128.0, 300.0];
/// The policy under measurement.
const LEARNED_LIMITS: Policy = Policy::Balancer(LimitBounds { learned: true, min: 1.0, max: 1000.0 });
/// Maximum load at which the learned limits are compared with the plain relay.
const MAX_RELAY_LOAD: f64 = 0.8;
/// Maximum loss of service compared with the plain relay, up to that load.
const MAX_RELAY_LOSS: f64 = 0.01;
/// Minimum service relative to the best constant limit, in at least [`MIN_CELL_FRACTION`] of the cells.
const MIN_OF_BEST: f64 = 0.97;
/// Minimum service relative to the best constant limit, in every cell.
const MIN_OF_BEST_IN_ALL: f64 = 0.93;
/// Minimum fraction of cells that reach [`MIN_OF_BEST`].
const MIN_CELL_FRACTION: f64 = 0.9;

/// A cell of the grid.
#[derive(Clone, Debug)]
struct Cell {
    name: String,
    scenario: Scenario,
    load: f64,
}

/// A fleet of nodes with `cores` cores each (0: a mix of 1, 2, 8 and 64), whose requests wait `wait_ms` in addition to
/// their work.
fn cell(cores: usize, wait_ms: f64, cv: f64, proxies: usize, load: f64, seconds: f64) -> Cell {
    let kind =
        |cores: usize, count: usize| Kind { name: format!("c{cores}"), count, cores, ..Kind::default() };
    let kinds = match cores {
        0 => vec![kind(1, 4), kind(2, 4), kind(8, 2), kind(64, 1)],
        1 => vec![kind(1, 12)],
        2 => vec![kind(2, 8)],
        8 => vec![kind(8, 4)],
        _ => vec![kind(cores, 2)],
    };
    // Many cores with short requests would need tens of thousands of requests a second, so work and objectives are
    // longer.
    let wide = cores == 0 || cores > 8;
    let work_ms = if wide {
        100.0
    } else if wait_ms > 200.0 {
        5.0
    } else {
        20.0
    };
    let extra_ms = 4.0 * wait_ms + if wide { 5.0 * work_ms } else { 0.0 };
    let read = Class {
        weight: 0.6,
        work_ms,
        work_cv: cv,
        wait_ms,
        objective_ms: 750.0 + extra_ms,
        deadline_ms: 2000.0 + extra_ms,
        ..Class::default()
    };
    let vote = Class {
        name: "vote".into(),
        effect: Effect::Keyed,
        weight: 0.4,
        work_ms: 0.75 * work_ms,
        objective_ms: 250.0 + extra_ms,
        deadline_ms: 1200.0 + extra_ms,
        priority_weight: 8.0,
        ..read.clone()
    };
    let capacity: f64 = kinds.iter().map(|k| (k.count * k.cores) as f64 * k.speed).sum();
    let mean_s = (0.6 * read.work_ms + 0.4 * vote.work_ms) / 1e3;
    let clients = Clients { per_s: load * capacity / mean_s, leaving: 0.0, ..Clients::default() };
    let name = format!("cores {cores} wait {wait_ms} cv {cv} proxies {proxies} load {load}");
    let classes = vec![read, vote];
    let scenario =
        Scenario { name: name.clone(), proxies, kinds, classes, clients, seconds, ..Scenario::default() };
    Cell { name, scenario, load }
}

/// The grid: every fleet at every load with three proxies, and for some fleets other numbers of proxies and variations
/// of work.
fn grid(seconds: f64) -> Vec<Cell> {
    let mut cells = Vec::new();
    for cores in [1, 2, 8, 64, 0] {
        for wait in [0.0, 150.0, 500.0] {
            for load in [0.3, 0.5, 0.8, 1.0, 1.5] {
                cells.push(cell(cores, wait, 1.0, 3, load, seconds));
            }
        }
    }
    for (cores, wait) in [(1, 0.0), (1, 150.0), (8, 0.0), (0, 0.0)] {
        for load in [0.3, 0.8, 1.5] {
            cells.push(cell(cores, wait, 3.0, 3, load, seconds));
            cells.push(cell(cores, wait, 1.0, 1, load, seconds));
            cells.push(cell(cores, wait, 1.0, 30, load, seconds));
        }
    }
    cells
}

/// Runs a policy on a cell for all seeds; returns the mean service and the mean number of chokes.
fn play(cell: &Cell, policy: Policy, seeds: u64) -> io::Result<(f64, f64)> {
    let mut sum = (0.0, 0.0);
    for seed in 1..=seeds {
        let report: Report =
            simulate(&cell.scenario.clone().seed(seed), policy, &[]).map_err(io::Error::other)?;
        sum = (sum.0 + report.g, sum.1 + report.chokes as f64);
    }
    Ok((sum.0 / seeds as f64, sum.1 / seeds as f64))
}

/// Results of a cell: service and chokes by policy; for the best constant, the limit first.
struct CellResult {
    name: String,
    load: f64,
    learned: (f64, f64),
    four: (f64, f64),
    relay: (f64, f64),
    best: (f64, f64, f64),
}

fn measure_cell(cell: &Cell, seeds: u64) -> io::Result<CellResult> {
    let constant = |limit: f64| Policy::Balancer(LimitBounds { learned: false, min: limit, max: limit });
    let learned = play(cell, LEARNED_LIMITS, seeds)?;
    let (mut best, mut four) = ((0.0, 0.0, 0.0), (0.0, 0.0));
    for limit in CONSTANT_LIMITS {
        let result = play(cell, constant(limit), seeds)?;
        if limit == 4.0 {
            four = result;
        }
        // Selects the highest service; if equal, the fewest chokes.
        if result.0 > best.1 + 1e-4 || (result.0 > best.1 - 1e-4 && result.1 < best.2) {
            best = (limit, result.0, result.1);
        }
    }
    let relay = play(cell, Policy::Relay, seeds)?;
    Ok(CellResult { name: cell.name.clone(), load: cell.load, learned, four, relay, best })
}

/// Prints a cell second by second, and the proxies' limits at the end.
fn print_detail(cell: &Cell) -> io::Result<()> {
    let report = simulate(&cell.scenario.clone().seed(1), LEARNED_LIMITS, &[]).map_err(io::Error::other)?;
    let seconds: Vec<String> = report.seconds.iter().map(|g| format!("{g:.2}")).collect();
    println!("{}: by second {}; maximum in flight {:?}", cell.name, seconds.join(" "), report.max_in_flight);
    println!("  responses {:?}", report.statuses);
    for view in report.limits.iter().flatten().take(8) {
        let ms =
            view.latency.map(|(took, alone)| format!("{:.1} ms, {:.1} unloaded", took * 1e3, alone * 1e3));
        println!(
            "  limit {:.1} room {} {}: {}",
            view.limit,
            view.slots,
            view.reason.name(),
            ms.unwrap_or_default()
        );
    }
    Ok(())
}

/// Runs the measurement, on the cells whose names contain `only` if it is set; prints details of each cell if `shown`.
pub fn measure(seeds: u64, seconds: f64, only: Option<&str>, shown: bool) -> io::Result<Value> {
    let cells: Vec<Cell> =
        grid(seconds).into_iter().filter(|c| only.is_none_or(|o| c.name.contains(o))).collect();
    for cell in cells.iter().filter(|_| shown) {
        print_detail(cell)?;
    }
    println!("{} cells, {seeds} seeds, {seconds} s each, in virtual time", cells.len());
    println!("{:<48} learned chokes |  four chokes | relay chokes |  best (limit) chokes", "cell");
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let Some(cell) = cells.get(next.fetch_add(1, Ordering::Relaxed)) else { return };
                let result = measure_cell(cell, seeds);
                if let Ok(f) = &result {
                    println!(
                        "{:<48} {:.3} {:6.1} | {:.3} {:6.1} | {:.3} {:6.1} | {:.3} ({}) {:.1}{}",
                        f.name,
                        f.learned.0,
                        f.learned.1,
                        f.four.0,
                        f.four.1,
                        f.relay.0,
                        f.relay.1,
                        f.best.1,
                        f.best.0,
                        f.best.2,
                        if f.learned.0 < f.best.1 * MIN_OF_BEST { "  <" } else { "" }
                    );
                }
                done.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(result);
            });
        }
    });
    let done = done.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    let all: Vec<CellResult> = done.into_iter().collect::<io::Result<_>>()?;
    let relative_to_best = |f: &CellResult| if f.best.1 > 0.0 { f.learned.0 / f.best.1 } else { 1.0 };
    let cells_near_best = all.iter().filter(|f| relative_to_best(f) >= MIN_OF_BEST).count();
    let worst = all.iter().map(relative_to_best).fold(f64::MAX, f64::min);
    let is_behind_relay =
        |f: &&CellResult| f.load <= MAX_RELAY_LOAD && f.learned.0 < f.relay.0 - MAX_RELAY_LOSS;
    let relay: Vec<&str> = all.iter().filter(is_behind_relay).map(|f| f.name.as_str()).collect();
    let choked = |f: &&CellResult| f.best.2 == 0.0 && f.learned.1 > 0.0;
    let choked: Vec<&str> = all.iter().filter(choked).map(|f| f.name.as_str()).collect();
    let round = |x: f64| (x * 1000.0).round() / 1000.0;
    let within_bounds = !all.is_empty()
        && cells_near_best as f64 >= MIN_CELL_FRACTION * all.len() as f64
        && worst >= MIN_OF_BEST_IN_ALL
        && relay.is_empty()
        && choked.is_empty();
    Ok(json!({
        "measure": "limits", "cells": all.len(), "seeds": seeds, "seconds": seconds,
        "cells_at_0.97_of_best": cells_near_best, "cells_bound": MIN_CELL_FRACTION, "worst_part_of_best": round(worst),
        "worst_bound": MIN_OF_BEST_IN_ALL, "behind_the_relay": relay, "choked_where_the_best_is_not": choked,
        "mean_learned": round(all.iter().map(|f| f.learned.0).sum::<f64>() / all.len().max(1) as f64),
        "mean_four": round(all.iter().map(|f| f.four.0).sum::<f64>() / all.len().max(1) as f64),
        "mean_best": round(all.iter().map(|f| f.best.1).sum::<f64>() / all.len().max(1) as f64),
        "held": within_bounds,
    }))
}
