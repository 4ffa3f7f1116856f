//! Running one or many scenarios with the proxy, and statistics over runs.

use gaugesaddle_testbed::{program, run, Outcome, Program, ProxyImplementation, Scenario};
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The proxy's program, built if it is not up to date.
pub fn cast() -> io::Result<ProxyImplementation> {
    Ok(ProxyImplementation::Program(Program { path: program::build("gaugesaddle")?, arguments: Vec::new() }))
}

/// Runs a scenario with the proxy.
pub fn play(s: &Scenario) -> io::Result<Outcome> {
    play_with(&cast()?, s)
}

/// Runs a scenario with the result of [`cast`], so that the build of the proxy is not part of a measurement.
pub fn play_with(cast: &ProxyImplementation, s: &Scenario) -> io::Result<Outcome> {
    run(s, cast, &mut |_| {})
}

/// Runs all scenarios, `lanes` at a time; returns the outcomes in the order of the scenarios.
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

/// Mean and half the width of its 95% confidence interval (Student's t for the usual numbers of seeds).
pub fn interval(all: &[f64]) -> (f64, f64) {
    let n = all.len() as f64;
    let mean = all.iter().sum::<f64>() / n.max(1.0);
    if all.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let deviation = (all.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0)).sqrt();
    let t = match all.len() {
        2 => 12.7,
        3 => 4.30,
        4 => 3.18,
        5 => 2.78,
        6..=8 => 2.45,
        9..=12 => 2.26,
        _ => 2.09,
    };
    (mean, t * deviation / n.sqrt())
}

/// Rounds to three decimal places.
pub fn round(x: f64) -> f64 {
    (x * 1000.0).round() / 1000.0
}
