//! What the engine's interface answers when it refuses.

use hyper::StatusCode;
use jujubewind::wire::engine::EngineError;
use jujubewind::wire::engine::EngineFault;
use jujubewind::wire::engine::FaultCode;

use super::core::Error;
use crate::http::Reply;
use crate::http::json;

/// A refusal with its status.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    status: StatusCode,
    code: FaultCode,
    message: String,
}

impl Refusal {
    /// A refusal of a request without a route.
    pub(crate) fn no_route() -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            code: FaultCode::BadRequest,
            message: "no such route".to_owned(),
        }
    }

    /// The answer to send.
    pub(crate) fn reply(self) -> Reply {
        let error = EngineFault {
            code: self.code,
            message: self.message,
        };
        json(self.status, &EngineError { error })
    }
}

impl From<Error> for Refusal {
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

impl From<serde_json::Error> for Refusal {
    fn from(error: serde_json::Error) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            code: FaultCode::BadRequest,
            message: error.to_string(),
        }
    }
}
