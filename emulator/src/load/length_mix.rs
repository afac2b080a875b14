//! Weighted distribution of prompt lengths.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use jujubewind::types::ParseError;
use jujubewind::types::Tokens;
use rand::Rng;
use rand::RngExt;

/// Prompt lengths with weights, written as `LENGTH:WEIGHT,...`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LengthMix {
    lengths: Vec<(Tokens, u32)>,
}

impl LengthMix {
    /// Draws a length from the mix and adds up to a fifth, so that lengths vary within a decade.
    pub fn draw(&self, rng: &mut impl Rng) -> Tokens {
        let total: u32 = self.lengths.iter().map(|(_, weight)| weight).sum();
        let mut offset = rng.random_range(0..total);
        let mut drawn = Tokens::ZERO;
        for (length, weight) in &self.lengths {
            drawn = *length;
            if offset < *weight {
                break;
            }
            offset -= weight;
        }
        let extra = rng.random_range(0..=drawn.get() / 5);
        drawn.saturating_add(Tokens(extra))
    }
}

impl Default for LengthMix {
    fn default() -> Self {
        Self {
            lengths: vec![
                (Tokens(1_000), 70),
                (Tokens(10_000), 26),
                (Tokens(100_000), 4),
            ],
        }
    }
}

impl Display for LengthMix {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, (length, weight)) in self.lengths.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(f, "{comma}{}:{weight}", length.get())?;
        }
        Ok(())
    }
}

impl FromStr for LengthMix {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new("length mix", text);
        let lengths = text
            .split(',')
            .map(|part| parse_part(part).ok_or_else(error));
        let lengths = lengths.collect::<Result<Vec<(Tokens, u32)>, ParseError>>()?;
        Ok(Self { lengths })
    }
}

fn parse_part(text: &str) -> Option<(Tokens, u32)> {
    let (length, weight) = text.split_once(':').unwrap_or((text, "1"));
    let length: Tokens = length.parse().ok()?;
    let weight: u32 = weight.parse().ok()?;
    (weight > 0 && length > Tokens::ZERO).then_some((length, weight))
}
