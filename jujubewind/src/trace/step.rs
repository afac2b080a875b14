//! One line about a request.

use super::Fields;

crate::data! {
    /// A line with its time and where it was read.
    pub struct Step {
        /// The time as it was logged; lines sort by it.
        pub time: String,
        /// The file, or the machine's name that stands before the line.
        pub source: String,
        /// The line from its event on.
        pub text: String,
    }
}

impl Step {
    /// Reads a line if it is about `request`.
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

    /// The line's pairs.
    #[must_use]
    pub fn fields(&self) -> Fields {
        Fields::parse(&self.text)
    }
}
