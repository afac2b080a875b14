//! What becomes of messages for which there is no room.

use std::io::ErrorKind;

use serde::de::DeserializeOwned;
use tarpc::ClientMessage;
use tarpc::Response;
use tarpc::ServerError;
use tarpc::context::Context;

use super::frame;
use super::frame::Result;

/// The detail of the error of a call that was refused before its handler saw it; the kind of an error does
/// not survive the encoding.
pub(super) const NOT_DELIVERED: &str = "no memory for the request";

/// What follows from a message that was not kept.
pub enum Consequence<In> {
    /// This frame is sent back.
    Answer(Vec<u8>),
    /// This arrives in its place.
    Deliver(In),
}

/// A message that arrives.
pub trait Arriving: DeserializeOwned {
    /// What follows if there is no room for the message that begins with `prefix`.
    fn skip(prefix: &[u8]) -> Result<Consequence<Self>>;

    /// Whether a handler will run for it.
    fn is_request(&self) -> bool;
}

/// A message that is sent.
pub trait Departing {
    /// The message in its place if there is no room to encode it; `None` if its own memory stands for
    /// that.
    fn substitute(&self) -> Option<Response<()>>;
}

impl<T: DeserializeOwned> Arriving for ClientMessage<T> {
    fn skip(prefix: &[u8]) -> Result<Consequence<Self>> {
        // The number of the variant, which is a request: other messages are always short.
        let (_, _, id): (u32, Context, u64) = frame::decode_prefix(prefix)?;
        let refusal: Response<()> = failure(id, NOT_DELIVERED);
        frame::encode(&refusal).map(Consequence::Answer)
    }

    fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl<T: DeserializeOwned> Arriving for Response<T> {
    fn skip(prefix: &[u8]) -> Result<Consequence<Self>> {
        let id = frame::decode_prefix(prefix)?;
        let lost = failure(id, "no memory for the response");
        Ok(Consequence::Deliver(lost))
    }

    fn is_request(&self) -> bool {
        false
    }
}

impl<T> Departing for ClientMessage<T> {
    fn substitute(&self) -> Option<Response<()>> {
        None
    }
}

impl<T> Departing for Response<T> {
    fn substitute(&self) -> Option<Response<()>> {
        Some(failure(self.request_id, "no memory to send the response"))
    }
}

fn failure<T>(request_id: u64, detail: &str) -> Response<T> {
    Response {
        request_id,
        message: Err(ServerError::new(ErrorKind::Other, detail.to_owned())),
    }
}
