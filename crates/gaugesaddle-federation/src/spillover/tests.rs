use super::*;
use SpilloverMode::{Auto, Never, Now};
use SpilloverState::{Local, Returning, Spilling};

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn spillover() -> Spillover {
    Spillover::new(SpilloverThresholds::default())
}

fn with_coverage(coverage: f64) -> FleetCapacity {
    FleetCapacity { capacity_per_s: 100.0 * coverage, demand_per_s: 100.0 }
}

/// Records an observation every 50 ms; returns the transitions with their times in milliseconds.
fn run(
    spillover: &mut Spillover, from_ms: u64, to_ms: u64, coverage: impl Fn(u64) -> f64,
) -> Vec<(u64, SpilloverState)> {
    let mut transitions = Vec::new();
    for ms in (from_ms..to_ms).step_by(50) {
        if let Some(transition) = spillover.observe(at(ms), with_coverage(coverage(ms))) {
            transitions.push((ms, transition.to));
        }
    }
    transitions
}

#[test]
fn each_transition_requires_its_configured_duration() {
    let mut spillover = spillover();
    assert_eq!(run(&mut spillover, 0, 1000, |_| 1.0), []);
    assert_eq!(run(&mut spillover, 1000, 3000, |_| 0.0), [(1500, Spilling)]);
    assert_eq!(spillover.budget_fraction(at(3000), Auto), 1.0);
    assert_eq!(run(&mut spillover, 3000, 6000, |_| 1.0), [(5000, Returning)]);
    assert!(
        (spillover.budget_fraction(at(10_000), Auto) - 0.5).abs() < 1e-9,
        "half of the return duration has passed"
    );
    assert_eq!(run(&mut spillover, 6000, 7000, |_| 0.2), [(6250, Spilling)], "relapse");
    assert_eq!(run(&mut spillover, 7000, 12_000, |_| 1.0), [(9000, Returning)]);
    assert_eq!(run(&mut spillover, 12_000, 25_000, |_| 1.0), [(19_000, Local)]);
    assert_eq!(spillover.budget_fraction(at(25_000), Auto), 0.0);
}

#[test]
fn coverage_flapping_around_a_threshold_causes_no_transition() {
    let mut spillover = spillover();
    let flapping = |ms: u64| if (ms / 50) % 2 == 0 { 0.45 } else { 0.55 };
    assert_eq!(run(&mut spillover, 0, 60_000, flapping), []);
    run(&mut spillover, 60_000, 61_000, |_| 0.1);
    assert_eq!(spillover.state(), Spilling);
    let flapping = |ms: u64| if (ms / 50) % 8 == 0 { 0.7 } else { 0.9 };
    assert_eq!(run(&mut spillover, 61_000, 120_000, flapping), []);
}

#[test]
fn insufficiency_shorter_than_enter_after_causes_no_transition() {
    let mut spillover = spillover();
    assert_eq!(run(&mut spillover, 0, 10_000, |ms| if ms % 1000 < 400 { 0.0 } else { 1.0 }), []);
}

#[test]
fn the_mode_overrides_the_state() {
    let mut spillover = spillover();
    assert_eq!(spillover.budget_fraction(at(0), Now), 1.0);
    run(&mut spillover, 0, 1000, |_| 0.0);
    assert_eq!(spillover.state(), Spilling);
    assert_eq!(spillover.budget_fraction(at(1000), Never), 0.0);
}

#[test]
fn non_finite_rates_and_backward_time_are_tolerated() {
    let rates = [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300];
    let mut with_invalid_rates = spillover();
    for (i, capacity_per_s) in rates.into_iter().enumerate() {
        for demand_per_s in rates {
            with_invalid_rates.observe(at(1000 + i as u64), FleetCapacity { capacity_per_s, demand_per_s });
            assert!(
                with_invalid_rates.coverage().is_finite()
                    && (0.0..=1.0).contains(&with_invalid_rates.budget_fraction(at(0), Auto))
            );
        }
    }
    let mut backwards = spillover();
    run(&mut backwards, 5000, 5200, |_| 0.0);
    assert_eq!(run(&mut backwards, 0, 400, |_| 0.0), [], "an earlier now counts as no time passed");
    let mut idle = spillover();
    for n in 0..20 {
        idle.observe(at(n * 50), FleetCapacity { capacity_per_s: 0.0, demand_per_s: 0.0 });
    }
    assert_eq!(idle.state(), Spilling, "zero capacity is insufficient even without demand");
}
