//! A log line about a request.

use super::Fields;

crate::data! {
    /// A log line with its time and source.
    pub struct Step {
        /// The logged timestamp, by which lines are sorted.
        pub time: String,
        /// The log file that contains the line.
        pub source: String,
        /// The line, starting at its event.
        pub text: String,
    }
}

impl Step {
    /// Parses a line; `None` if it is not about `request`.
    #[must_use]
    pub fn parse(request: &str, source: &str, line: &str) -> Option<Self> {
        let fields = Fields::parse(line);
        if fields.get("request") != Some(request) {
            return None;
        }
        let start = line.find("event=")?;
        Some(Self {
            time: fields.get("ts").unwrap_or_default().to_owned(),
            source: source.to_owned(),
            text: line[start..].trim_end().to_owned(),
        })
    }

    /// The fields of the line.
    #[must_use]
    pub fn fields(&self) -> Fields {
        Fields::parse(&self.text)
    }
}
