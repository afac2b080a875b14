//! Keys of the platform's store.

use std::fmt::Display;
use std::fmt::Formatter;

use crate::types::ParseError;

/// A key; each topic has a prefix of its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(String);

impl Key {
    /// Creates the key of `name` within `topic`.
    #[must_use]
    pub fn new(topic: &str, name: &str) -> Self {
        Self(format!("{topic}/{name}"))
    }

    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for Key {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::str::FromStr for Key {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(ParseError::new("Key", text));
        }
        Ok(Self(text.to_owned()))
    }
}
