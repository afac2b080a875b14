//! JSON output.

use super::Output;
use super::Report;

/// Renders a report as one JSON document.
#[derive(Clone, Copy, Debug)]
pub struct Json;

impl Output for Json {
    fn render(&self, report: &impl Report) -> String {
        let text = serde_json::to_string_pretty(report).unwrap_or_default();
        text + "\n"
    }
}
