//! Conversions between counts and floats.

/// Converts to the nearest float.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts here stay far below 2^53"
)]
pub fn to_f64(number: u64) -> f64 {
    number as f64
}

/// Truncates to an integer; saturates at the bounds.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub fn to_u64(number: f64) -> u64 {
    number as u64
}

/// Converts to an index; saturates.
#[must_use]
pub fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
