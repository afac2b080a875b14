//! The fields of a log line.

use std::collections::BTreeMap;

/// The keys and unquoted values of a log line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    pairs: BTreeMap<String, String>,
}

impl Fields {
    /// Parses the `key=value` pairs of a line and ignores other words.
    #[must_use]
    pub fn parse(line: &str) -> Self {
        let mut pairs = BTreeMap::new();
        let mut rest = line;
        while let Some((before, after)) = rest.split_once('=') {
            let key = before
                .rsplit(char::is_whitespace)
                .next()
                .unwrap_or_default();
            let (value, remainder) = parse_value(after);
            pairs.insert(key.to_owned(), value);
            rest = remainder;
        }
        Self { pairs }
    }

    /// The value of `key`.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.get(key).map(String::as_str)
    }
}

/// Parses the value at the start of `text`, and returns it with the remaining text.
fn parse_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(char::is_whitespace).unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut escaped = false;
    let mut value = String::new();
    for (index, char) in quoted.char_indices() {
        match char {
            '"' if !escaped => return (value, &quoted[index + 1..]),
            '\\' if !escaped => escaped = true,
            _ => {
                escaped = false;
                value.push(char);
            }
        }
    }
    (value, "")
}
