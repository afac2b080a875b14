//! Error responses.

use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;

use crate::entry::Failure;
use crate::entry::Ran;
use crate::http::Reply;
use crate::http::json;
use crate::types::Millis;
use crate::types::RequestId;
use crate::wire::openai;
use crate::wire::openai::ErrorBody;
use crate::wire::openai::ErrorResponse;

/// Returns the error response for a failure, with `Retry-After` if a retry can help.
pub fn error_reply(request: RequestId, failure: &Failure) -> Reply {
    let mut reply = json(failure.status(), &error_body(request, failure));
    if failure.retry > Millis::ZERO {
        let seconds = failure.retry.get().div_ceil(1_000);
        reply
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    reply
}

/// Returns the body of the error response.
pub fn error_body(request: RequestId, failure: &Failure) -> ErrorResponse {
    ErrorResponse {
        error: ErrorBody {
            kind: failure.reason.to_string(),
            message: format!("{}: {}", failure.reason, failure.remedy()),
            ran: ran(failure.ran),
            remedy: failure.remedy().to_owned(),
            request_id: request.to_string(),
            retry_after_ms: (failure.retry > Millis::ZERO).then_some(failure.retry.get()),
        },
    }
}

fn ran(ran: Ran) -> openai::Ran {
    match ran {
        Ran::NotRun => openai::Ran::NotRun,
        Ran::Ran => openai::Ran::Ran,
        Ran::Unknown => openai::Ran::Unknown,
    }
}
