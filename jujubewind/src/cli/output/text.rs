//! Text output.

use super::Output;
use super::Report;

/// Renders a report as lines of text.
#[derive(Clone, Copy, Debug)]
pub struct Text;

impl Output for Text {
    fn render(&self, report: &impl Report) -> String {
        let text = report.to_string();
        format!("{}\n", text.trim_end())
    }
}
