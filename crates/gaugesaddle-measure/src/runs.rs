//! Scenarios played with the proxy, one or many, and what many runs come to.

use gaugesaddle_testbed::{program, run, Outcome, Program, ProxyImplementation, Scenario};
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The proxy, brought up to date.
pub fn cast() -> io::Result<ProxyImplementation> {
    Ok(ProxyImplementation::Program(Program { path: program::build("gaugesaddle")?, arguments: Vec::new() }))
}

/// Plays a scenario with it.
pub fn play(s: &Scenario) -> io::Result<Outcome> {
    play_with(&cast()?, s)
}

/// The same with what [`cast`] gave: what it takes to bring the proxy up to date is no part of the run.
pub fn play_with(cast: &ProxyImplementation, s: &Scenario) -> io::Result<Outcome> {
    run(s, cast, &mut |_| {})
}

/// Plays all of them, so many side by side; the outcomes in their order.
pub fn play_all(all: &[Scenario], lanes: usize) -> io::Result<Vec<Outcome>> {
    let (cast, next, done) = (cast()?, AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|s| {
        for _ in 0..lanes.min(all.len()) {
            s.spawn(|| loop {
                let i = next.fetch_add(1, Ordering::Relaxed);
                let Some(scenario) = all.get(i) else { return };
                let outcome = play_with(&cast, scenario);
                done.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push((i, outcome));
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    done.sort_by_key(|d| d.0);
    done.into_iter().map(|d| d.1).collect()
}

/// Mean and half the width of its 95% interval (Student's t for the usual counts of seeds).
pub fn interval(all: &[f64]) -> (f64, f64) {
    let n = all.len() as f64;
    let mean = all.iter().sum::<f64>() / n.max(1.0);
    if all.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let spread = (all.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0)).sqrt();
    let t = match all.len() {
        2 => 12.7,
        3 => 4.30,
        4 => 3.18,
        5 => 2.78,
        6..=8 => 2.45,
        9..=12 => 2.26,
        _ => 2.09,
    };
    (mean, t * spread / n.sqrt())
}

/// To a thousandth.
pub fn round(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}
