//! Defence against figures of other processes that are no numbers.

/// The value as it may enter a sum: 0 where it is negative, infinite or NaN.
pub(crate) fn finite_non_negative(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}
