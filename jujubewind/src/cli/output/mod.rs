//! Output formats of the commands.

mod json;
mod text;

use std::fmt::Display;

use serde::Serialize;

pub use json::Json;
pub use text::Text;

use super::Exit;

crate::label! {
    /// The output format.
    pub enum Format {
        /// Text, for people.
        Text = "text",
        /// JSON, for programs.
        Json = "json",
    }
}

/// The result of a command, as printed.
pub trait Report: Display + Serialize {
    /// The exit code of the command.
    fn exit(&self) -> Exit {
        Exit::Success
    }
}

/// Renders reports in one format.
pub trait Output {
    /// Renders the report, with a newline at the end.
    fn render(&self, report: &impl Report) -> String;
}

impl Output for Format {
    fn render(&self, report: &impl Report) -> String {
        match self {
            Self::Text => Text.render(report),
            Self::Json => Json.render(report),
        }
    }
}
