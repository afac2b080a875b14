//! Rates of requests.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::ParseError;

const MILLI_PER_REQUEST: u64 = 1_000;
/// The highest rate that is told from others, in requests a second.
const MAX_PER_SECOND: f64 = 1e9;

/// Thousandths of a request a second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// No requests.
    pub const ZERO: Self = Self(0);

    /// The rate of `milli` thousandths of a request a second.
    #[must_use]
    pub const fn from_milli(milli: u64) -> Self {
        Self(milli)
    }

    /// Thousandths of a request a second.
    #[must_use]
    pub const fn milli(self) -> u64 {
        self.0
    }

    /// Whole requests a second, rounded down.
    #[must_use]
    pub const fn per_second(self) -> u64 {
        self.0 / MILLI_PER_REQUEST
    }
}

impl Display for RequestRate {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let (whole, rest) = (self.0 / MILLI_PER_REQUEST, self.0 % MILLI_PER_REQUEST);
        write!(formatter, "{whole}.{rest:03}/s")
    }
}

impl FromStr for RequestRate {
    type Err = ParseError;

    /// Parses a decimal number of requests a second, rounded down to thousandths.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "the number is checked to be finite and not negative, and clamped"
    )]
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        let rate: Option<f64> = number.parse().ok();
        rate.filter(|rate| rate.is_finite() && *rate >= 0.0)
            .map(|rate| Self((rate.min(MAX_PER_SECOND) * MILLI_PER_REQUEST as f64) as u64))
            .ok_or_else(|| ParseError::new("RequestRate", text))
    }
}
