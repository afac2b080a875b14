//! Output for reading.

use super::Output;
use super::Report;

/// Lines of plain text.
#[derive(Clone, Copy, Debug)]
pub struct Text;

impl Output for Text {
    fn render(&self, report: &impl Report) -> String {
        let text = report.to_string();
        format!("{}\n", text.trim_end())
    }
}
