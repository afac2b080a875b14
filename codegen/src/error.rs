//! Errors of code generation.

/// The result of code generation.
pub type Result<T> = std::result::Result<T, Error>;

/// Why code generation failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The schema is not valid JSON Schema.
    #[error("the schema is not valid JSON Schema: {0}; correct the file under schema/")]
    Schema(#[from] serde_json::Error),
    /// The schema uses a feature that cannot be converted to Rust types.
    #[error("the schema cannot be converted to types: {0}; use only objects, arrays and enums")]
    Convert(typify::Error),
    /// The generator's output is not valid Rust.
    #[error("the generated code is not valid: {0}; report it with the schema")]
    Code(#[from] syn::Error),
}
