//! `trace`: shows what the logs say about one request.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Serialize;

use super::Error;
use super::Result;
use super::options::TraceOptions;
use super::output::Report;
use crate::trace::Step;
use crate::trace::Timeline;

/// The log lines about a request, and how it ended.
#[derive(Clone, Debug, Serialize)]
pub struct TraceReport {
    request: String,
    steps: Vec<Step>,
    cause: String,
}

/// Collects the lines about a request from the logs of several processes.
///
/// # Errors
/// A log cannot be read, or none has a line about the request.
pub fn trace(options: &TraceOptions) -> Result<TraceReport> {
    let mut timeline = Timeline::new(&options.request);
    for path in &options.logs {
        let bytes = std::fs::read(path).map_err(|error| Error::NoLog(path.clone(), error))?;
        let text = String::from_utf8_lossy(&bytes);
        timeline.add_log(&path.display().to_string(), &text);
    }
    let outcome = timeline.outcome();
    let outcome = outcome.ok_or_else(|| Error::NoLines(options.request.clone()))?;
    Ok(TraceReport {
        request: options.request.clone(),
        steps: timeline.steps().to_vec(),
        cause: outcome.to_string(),
    })
}

impl Report for TraceReport {}

impl Display for TraceReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for step in &self.steps {
            writeln!(f, "{} {}: {}", step.time, step.source, step.text)?;
        }
        write!(f, "{}", self.cause)
    }
}
