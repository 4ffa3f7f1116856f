//! The HALB traffic split against values computed by hand from the formula of the paper.

use gaugesaddle_balancer::halb_fractions;

fn assert_close(got: Vec<f64>, expected: &[f64]) {
    assert_eq!(got.len(), expected.len());
    for (g, e) in got.iter().zip(expected) {
        assert!((g - e).abs() < 1e-9, "got {got:?}, expected {expected:?}");
    }
}

const TWO: [(f64, f64); 2] = [(1.0, 4.0), (1.0, 1.0)];

#[test]
fn both_kinds_serve_above_the_clamp() {
    // roots 3, speeds 5: flows 4 - 2 * 1.5 / 3 = 3 and 1 - 1.5 / 3 = 0.5.
    assert_close(halb_fractions(&TWO, Some(3.5)), &[6.0 / 7.0, 1.0 / 7.0]);
}

#[test]
fn slow_kind_gets_nothing_at_light_load() {
    assert_close(halb_fractions(&TWO, Some(2.0)), &[1.0, 0.0]);
    assert_close(halb_fractions(&TWO, Some(1.0)), &[1.0, 0.0]);
}

#[test]
fn rest_is_solved_without_clamped_kind() {
    // Of all three: roots 6, speeds 14, the third flow 1 - 8.5 / 6 < 0.
    // Of the first two: roots 5, speeds 13: 9 - 3 * 1.5 = 4.5 and 4 - 2 * 1.5 = 1.
    let three = [(1.0, 9.0), (1.0, 4.0), (1.0, 1.0)];
    assert_close(halb_fractions(&three, Some(5.5)), &[4.5 / 5.5, 1.0 / 5.5, 0.0]);
}

#[test]
fn counts_are_weights_and_may_be_fractions() {
    // roots 2 * 2 + 0.5 = 4.5, speeds 8.5: at 4 per second (8.5 - 4) / 4.5 = 1: flows 8 - 4 and 0.5 - 0.5.
    assert_close(halb_fractions(&[(2.0, 4.0), (0.5, 1.0)], Some(4.0)), &[1.0, 0.0]);
    // At 6.25: (8.5 - 6.25) / 4.5 = 0.5: flows 8 - 2 and 0.5 - 0.25.
    assert_close(halb_fractions(&[(2.0, 4.0), (0.5, 1.0)], Some(6.25)), &[0.96, 0.04]);
}

#[test]
fn all_traffic_is_split_over_capacity() {
    // (5 - 8) / 3 = -1: flows 4 + 2 and 1 + 1.
    assert_close(halb_fractions(&TWO, Some(8.0)), &[0.75, 0.25]);
}

#[test]
fn split_without_a_rate_follows_ready_counts() {
    assert_close(halb_fractions(&[(3.0, 4.0), (1.0, 1.0), (0.0, 9.0)], None), &[0.75, 0.25, 0.0]);
}

#[test]
fn fastest_kind_takes_all_near_zero_rate() {
    assert_close(halb_fractions(&TWO, Some(0.0)), &[1.0, 0.0]);
    assert_close(halb_fractions(&[(1.0, 4.0), (3.0, 4.0)], Some(0.0)), &[0.25, 0.75]);
    assert_close(halb_fractions(&[(0.0, 9.0), (1.0, 4.0), (1.0, 1.0)], Some(1e-12)), &[0.0, 1.0, 0.0]);
}

#[test]
fn one_kind_takes_all_and_none_ready_takes_nothing() {
    assert_close(halb_fractions(&[(2.0, 3.0)], Some(1.0)), &[1.0]);
    assert_close(halb_fractions(&[(0.0, 3.0), (0.0, 1.0)], Some(1.0)), &[0.0, 0.0]);
    assert_close(halb_fractions(&[(0.0, 3.0), (2.0, 1.0)], Some(1.0)), &[0.0, 1.0]);
    assert_close(halb_fractions(&[], Some(1.0)), &[]);
    assert_close(halb_fractions(&[], None), &[]);
}
