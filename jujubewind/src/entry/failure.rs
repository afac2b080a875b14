//! Failures of requests, as callers see them.

use hyper::StatusCode;

use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Millis;

crate::label! {
    /// Whether a request ran on a backend server.
    pub enum Ran {
        /// It did not run and never will.
        NotRun = "not_run",
        /// It ran, at least in part.
        Ran = "ran",
        /// The outcome is unknown.
        Unknown = "unknown",
    }
}

crate::data! {
    /// Why a request failed, whether it ran, and when to retry.
    pub struct Failure {
        /// The reason.
        pub reason: Reason,
        /// Whether it ran.
        pub ran: Ran,
        /// Delay before a retry; zero if a retry cannot help.
        pub retry: Millis,
    }
}

impl Failure {
    /// Creates the failure of a request that did not reach a backend server.
    #[must_use]
    pub const fn not_run(reason: Reason, retry: Millis) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry,
        }
    }

    /// Creates the failure of a request for which there is no memory.
    #[must_use]
    pub const fn no_room() -> Self {
        Self::not_run(Reason::Overloaded, Refusal::ROOM_RETRY_AFTER)
    }

    /// Creates the failure of a request that may have run.
    #[must_use]
    pub const fn in_doubt(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry: Millis::ZERO,
        }
    }

    /// Returns the HTTP status of the error response.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self.reason {
            Reason::BodyTooLarge | Reason::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BadRequest | Reason::KeyRequired => StatusCode::BAD_REQUEST,
            Reason::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Reason::Unauthorized => StatusCode::UNAUTHORIZED,
            Reason::UnknownModel | Reason::UnknownRoute => StatusCode::NOT_FOUND,
            Reason::KeyMismatch | Reason::Convicted => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::KeyBusy | Reason::StaleFence | Reason::Cancelled => StatusCode::CONFLICT,
            Reason::RequestRate
            | Reason::TokenRate
            | Reason::Concurrency
            | Reason::NoCredit
            | Reason::QueueFull
            | Reason::RetryBudget
            | Reason::NoMemory
            | Reason::NoTime => StatusCode::TOO_MANY_REQUESTS,
            Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Reason::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Reason::Leaving
            | Reason::NoBackend
            | Reason::BackendDown
            | Reason::StoreDown
            | Reason::Stopping
            | Reason::Overloaded
            | Reason::NoCatalogue
            | Reason::UnreadableTable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the advice for the caller on how to resolve the failure.
    #[must_use]
    pub const fn remedy(&self) -> &'static str {
        match self.reason {
            Reason::BodyTooLarge => "send a shorter body",
            Reason::BodyTooSlow => "send the body faster",
            Reason::BadRequest => "send the JSON that the route expects",
            Reason::Unauthorized => "send `Authorization: Bearer KEY` with a valid key",
            Reason::UnknownModel => "use a model or service that your catalogue entry names",
            Reason::UnknownRoute => "use a route that the documentation names",
            Reason::PromptTooLong => "shorten the prompt or the answer",
            Reason::NoTime | Reason::DeadlinePassed => "allow more time or come back later",
            Reason::KeyRequired => "send an Idempotency-Key header",
            Reason::KeyMismatch => "use a new Idempotency-Key for another body",
            Reason::KeyBusy => "wait for the call under way, then ask again with the same key",
            Reason::OutcomeUnknown => "find out at the service before sending it under a new key",
            Reason::Convicted => "change the request: it crashed backend servers",
            Reason::Cancelled | Reason::StaleFence => "send the request again",
            Reason::RequestRate | Reason::TokenRate | Reason::Concurrency | Reason::NoCredit => {
                "come back after the time given, or ask the owner for a higher limit"
            }
            Reason::QueueFull
            | Reason::NoMemory
            | Reason::RetryBudget
            | Reason::Leaving
            | Reason::NoBackend
            | Reason::BackendDown
            | Reason::StoreDown
            | Reason::Stopping
            | Reason::Overloaded
            | Reason::NoCatalogue
            | Reason::UnreadableTable => "come back after the time given",
        }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::not_run(refusal.reason, refusal.retry)
    }
}
