//! Why the engine refuses.

use jujubewind::wire::engine::FaultCode;

/// A result whose error is an engine's refusal.
pub type Result<T> = std::result::Result<T, Error>;

/// Why the engine refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The model is not loaded.
    #[error("the model is not loaded: order it first")]
    UnknownModel,
    /// The memory does not suffice now.
    #[error("not enough free KV memory: retry when sequences have ended")]
    NoMemory,
    /// The prompt and its answer exceed the whole memory.
    #[error("longer than the KV memory: reserve parts on several engines")]
    TooLong,
    /// A higher fencing number was seen.
    #[error("the fencing number is old: take a new lease")]
    StaleFence,
    /// The engine has crashed and is not back yet.
    #[error("the engine has crashed: retry when it is back")]
    Crashed,
    /// No such sequence, export or part.
    #[error("no such sequence, export or part: list them")]
    Unknown,
    /// A sequence runs in the part.
    #[error("a sequence runs in the part: cancel it first")]
    PartInUse,
    /// The id belongs to another sequence.
    #[error("the id is in use: choose a new one")]
    Duplicate,
}

impl Error {
    /// The code that goes over the wire.
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
