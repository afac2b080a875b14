//! How a request ended, as a sentence.

use std::fmt::Display;
use std::fmt::Formatter;

use super::Fields;
use super::Step;

/// The outcome of a request, from the last log line about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend server's answer was forwarded completely.
    Served(Fields),
    /// The entry answered with an error.
    Failed(Fields),
    /// The last attempt failed and nothing followed: the answer was cut off, or the process ended.
    Interrupted(Fields),
    /// The caller got a part of the answer.
    Truncated(Fields),
    /// The caller disconnected before the answer was complete.
    Abandoned(Fields),
    /// The request was still running when the log ends.
    InProgress(Fields),
}

impl RequestOutcome {
    /// Determines the outcome from the steps, which are in order; `None` if there are none.
    #[must_use]
    pub fn from_steps(steps: &[Step]) -> Option<Self> {
        let fields = steps.last()?.fields();
        Some(match fields.get("event") {
            Some("request_ended") => Self::Served(fields),
            Some("request_failed") => Self::Failed(fields),
            Some("answer_truncated") => Self::Truncated(fields),
            Some("caller_left") => Self::Abandoned(fields),
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
                field(line, "server"),
                field(line, "status"),
                field(line, "took"),
                field(line, "pause"),
            ),
            Self::Failed(line) => write!(
                f,
                "Failed after {} for `{}`: {}.",
                field(line, "took"),
                field(line, "reason"),
                ran(line),
            ),
            Self::Interrupted(line) => write!(
                f,
                "Cut after {}: the answer of {} ended ({}: {}) and no other server resumed it.",
                field(line, "took"),
                field(line, "server"),
                field(line, "what"),
                field(line, "cause"),
            ),
            Self::Truncated(line) => write!(
                f,
                "Truncated after {}: the answer ended after event {} ({}) in {} attempt(s).",
                field(line, "took"),
                field(line, "last"),
                field(line, "what"),
                field(line, "runs"),
            ),
            Self::Abandoned(line) => write!(
                f,
                "Abandoned after {}: its caller disconnected.",
                field(line, "took"),
            ),
            Self::InProgress(line) => write!(
                f,
                "Still running at {} when the log ends: its process stopped, or its caller \
                 disconnected.",
                field(line, "server"),
            ),
        }
    }
}

fn field<'a>(line: &'a Fields, key: &str) -> &'a str {
    line.get(key).unwrap_or("unknown")
}

fn ran(line: &Fields) -> &'static str {
    match line.get("ran") {
        Some("not_run") => "it did not run",
        Some("ran") => "it ran",
        _ => "whether it ran is unknown",
    }
}
