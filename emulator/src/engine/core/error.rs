//! The engine's errors.

use jujubewind::wire::engine::FaultCode;

/// A result with an engine error.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the engine rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The model is not loaded.
    #[error("the model is not loaded: order it first")]
    UnknownModel,
    /// There is not enough free memory now.
    #[error("not enough free KV memory: retry when sequences have ended")]
    NoMemory,
    /// The prompt and its answer exceed the total memory.
    #[error("longer than the KV memory: reserve parts on several engines")]
    TooLong,
    /// An order with a higher fencing token was seen before.
    #[error("the fencing number is old: take a new lease")]
    StaleFence,
    /// The engine has crashed and has not restarted yet.
    #[error("the engine has crashed: retry when it is back")]
    Crashed,
    /// The sequence, export or part does not exist.
    #[error("no such sequence, export or part: list them")]
    Unknown,
    /// A sequence uses the part.
    #[error("a sequence runs in the part: cancel it first")]
    PartInUse,
    /// The id is in use by another sequence.
    #[error("the id is in use: choose a new one")]
    Duplicate,
}

impl Error {
    /// Returns the error code of the HTTP API.
    #[must_use]
    pub const fn code(self) -> FaultCode {
        match self {
            Self::UnknownModel => FaultCode::UnknownModel,
            Self::NoMemory => FaultCode::NoMemory,
            Self::TooLong => FaultCode::TooLong,
            Self::StaleFence => FaultCode::StaleFence,
            Self::Crashed => FaultCode::Crashed,
            Self::Unknown => FaultCode::UnknownSequence,
            Self::PartInUse | Self::Duplicate => FaultCode::BadRequest,
        }
    }
}
