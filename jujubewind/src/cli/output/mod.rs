//! How a command's findings are printed.

mod json;
mod text;

use std::fmt::Display;

use serde::Serialize;

pub use json::Json;
pub use text::Text;

use super::Exit;

crate::label! {
    /// The form of the output.
    pub enum Format {
        /// For reading.
        Text = "text",
        /// For programs.
        Json = "json",
    }
}

/// What a command found.
pub trait Report: Display + Serialize {
    /// The exit code that goes with it.
    fn exit(&self) -> Exit {
        Exit::Success
    }
}

/// One form of the output.
pub trait Output {
    /// The report in this form, with its last line's end.
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
