//! Error responses of the engine's HTTP API.

use hyper::StatusCode;
use jujubewind::wire::engine::EngineError;
use jujubewind::wire::engine::EngineFault;
use jujubewind::wire::engine::FaultCode;

use super::core::Error;
use crate::http::Reply;
use crate::http::json;

/// An error with its HTTP status.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ErrorReply {
    status: StatusCode,
    code: FaultCode,
    message: String,
}

impl ErrorReply {
    /// The error for an unknown route.
    pub(crate) fn no_route() -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            code: FaultCode::BadRequest,
            message: "no such route".to_owned(),
        }
    }

    /// Builds the HTTP response.
    pub(crate) fn into_reply(self) -> Reply {
        let error = EngineFault {
            code: self.code,
            message: self.message,
        };
        json(self.status, &EngineError { error })
    }
}

impl From<Error> for ErrorReply {
    fn from(error: Error) -> Self {
        let status = match error {
            Error::UnknownModel | Error::Unknown => StatusCode::NOT_FOUND,
            Error::NoMemory | Error::Crashed => StatusCode::SERVICE_UNAVAILABLE,
            Error::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Error::StaleFence | Error::PartInUse | Error::Duplicate => StatusCode::CONFLICT,
        };
        Self {
            status,
            code: error.code(),
            message: error.to_string(),
        }
    }
}

impl From<serde_json::Error> for ErrorReply {
    fn from(error: serde_json::Error) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            code: FaultCode::BadRequest,
            message: error.to_string(),
        }
    }
}
