//! What can be wrong with a state chart.

/// A fault of a chart file, found when it is loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file is no chart.
    #[error("state chart does not parse: {0}; compare it with the others under charts/")]
    Syntax(#[from] serde_norway::Error),
    /// A name in the file is unknown to the code.
    #[error("state chart names `{0}`, which the code does not know; correct the chart's spelling")]
    UnknownName(String),
}

/// A result of loading a chart.
pub type Result<T> = std::result::Result<T, Error>;
