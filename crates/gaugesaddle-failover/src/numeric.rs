//! Sanitizes figures that other processes report.

/// Returns a value that can be summed: 0 where `value` is negative, infinite or NaN.
pub(crate) fn finite_non_negative(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}
