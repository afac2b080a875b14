//! A value as it is written after the equals sign.

use std::fmt::Display;
use std::fmt::Formatter;

/// Writes a value so that a line stays one line of pairs: quoted when it holds a space or a quote.
#[derive(Debug)]
pub struct Value<T>(pub T);

impl<T: Display> Display for Value<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let text = self.0.to_string();
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
        if !text.is_empty() && text.chars().all(plain) {
            f.write_str(&text)
        } else {
            write!(f, "{text:?}")
        }
    }
}
