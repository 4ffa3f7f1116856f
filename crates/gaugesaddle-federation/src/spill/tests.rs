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
            assert!(spill.covered().is_finite() && (0.0..=1.0).contains(&spill.open(at(0), Switch::Auto)));
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
