//! The errors of code generation.

/// A result whose error is this crate's.
pub type Result<T> = std::result::Result<T, Error>;

/// Why no code could be generated.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The schema is not valid.
    #[error("the schema is no JSON Schema: {0}; correct the file under schema/")]
    Schema(#[from] serde_json::Error),
    /// The schema uses a feature without a counterpart in Rust.
    #[error("the schema cannot become types: {0}; write it with objects, arrays and enums")]
    Convert(typify::Error),
    /// The generator's output is not Rust.
    #[error("the generated code is not valid: {0}; report it with the schema")]
    Code(#[from] syn::Error),
}
