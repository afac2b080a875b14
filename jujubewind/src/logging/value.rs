//! Formatting of values in log lines.

use std::fmt::Display;
use std::fmt::Formatter;

/// Displays a value so that the log line stays parsable: values that are empty or contain
/// whitespace, control characters, `"` or `=` are quoted and escaped.
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
