//! Errors of state charts.

/// A fault found when a chart file is loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file is not valid YAML, or not a chart.
    #[error("state chart does not parse: {0}; compare it with the others under charts/")]
    Syntax(#[from] serde_norway::Error),
    /// A state or event named in the file does not exist in the code.
    #[error("state chart names `{0}`, which the code does not know; correct the chart's spelling")]
    UnknownName(String),
}

/// The result of loading a chart.
pub type Result<T> = std::result::Result<T, Error>;
