//! How a request ended, in a sentence.

use std::fmt::Display;
use std::fmt::Formatter;

use super::Fields;
use super::Step;

/// What the last line about a request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend server's answer was passed on to its end.
    Served(Fields),
    /// The entry answered itself.
    Failed(Fields),
    /// The last try failed and nothing was logged after it: the answer was cut, or the process ended.
    Interrupted(Fields),
    /// It was under way when the log ends.
    InProgress(Fields),
}

impl RequestOutcome {
    /// The cause that the steps, in order, lead to.
    #[must_use]
    pub fn from_steps(steps: &[Step]) -> Option<Self> {
        let fields = steps.last()?.fields();
        Some(match fields.get("event") {
            Some("request_ended") => Self::Served(fields),
            Some("request_failed") => Self::Failed(fields),
            Some("attempt_failed") => Self::Interrupted(fields),
            _ => Self::InProgress(fields),
        })
    }
}

impl Display for RequestOutcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Served(line) => write!(
                f,
                "Answered by {} with status {} after {}; its longest pause was {}.",
                get(line, "server"),
                get(line, "status"),
                get(line, "took"),
                get(line, "pause"),
            ),
            Self::Failed(line) => write!(
                f,
                "Failed after {} for `{}`: {}.",
                get(line, "took"),
                get(line, "reason"),
                ran(line),
            ),
            Self::Interrupted(line) => write!(
                f,
                "Cut after {}: the answer of {} ended ({}: {}) and none went on with it.",
                get(line, "took"),
                get(line, "server"),
                get(line, "what"),
                get(line, "cause"),
            ),
            Self::InProgress(line) => write!(
                f,
                "Under way at {} when the log ends: its process stopped, or its caller left.",
                get(line, "server"),
            ),
        }
    }
}

fn get<'a>(line: &'a Fields, key: &str) -> &'a str {
    line.get(key).unwrap_or("unknown")
}

fn ran(line: &Fields) -> &'static str {
    match line.get("ran") {
        Some("not_run") => "it did not run",
        Some("ran") => "it ran",
        _ => "whether it ran is unknown",
    }
}
