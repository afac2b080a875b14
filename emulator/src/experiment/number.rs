//! Conversions between counts and floats, at sizes where both are exact enough.

/// The nearest float.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts here stay far below 2^53"
)]
pub fn float(number: u64) -> f64 {
    number as f64
}

/// The whole part, held at zero and the largest number.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub fn whole(number: f64) -> u64 {
    number as u64
}

/// A place in a list.
#[must_use]
pub fn index(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
