//! All log lines about one request, in order.

use super::RequestOutcome;
use super::Step;

/// The steps of one request, as logged by the processes that handled it.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    request: String,
    steps: Vec<Step>,
}

impl Timeline {
    /// Creates an empty timeline of `request`.
    #[must_use]
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            steps: Vec::new(),
        }
    }

    /// Adds the lines of one log that are about the request.
    pub fn add_log(&mut self, source: &str, text: &str) {
        let lines = text.lines();
        let steps = lines.filter_map(|line| Step::parse(&self.request, source, line));
        self.steps.extend(steps);
        self.steps.sort_by(|a, b| a.time.cmp(&b.time));
    }

    /// The steps, sorted by time.
    #[must_use]
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// How the request ended; `None` if no line is about it.
    #[must_use]
    pub fn outcome(&self) -> Option<RequestOutcome> {
        RequestOutcome::from_steps(&self.steps)
    }
}
