//! The language of callers and backend servers, which is not ours to choose.

use std::net::SocketAddr;

use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::http::request::Parts;

use super::ServerId;
use crate::entry::Failure;
use crate::http::Reply;
use crate::types::Millis;
use crate::types::OrgId;
use crate::types::Tokens;

crate::name! {
    /// The name that a caller gives one try of a request.
    pub struct CallId;
}

crate::name! {
    /// Memory that an engine has set aside.
    pub struct ReservationId;
}

crate::data! {
    /// Memory that is set aside, or to be.
    pub struct Reservation {
        /// Its name.
        pub id: ReservationId,
        /// How much.
        pub memory: Tokens,
        /// For how long, counted from the order's arrival.
        pub hold: Millis,
    }
}

crate::data! {
    /// How long a prompt is and how long its answer may be.
    pub struct Size {
        /// The prompt.
        pub prompt: Tokens,
        /// The longest answer.
        pub output: Tokens,
    }
}

crate::data! {
    /// What the head of a caller's request says.
    pub struct Call {
        /// The caller's name for it.
        pub id: CallId,
        /// How long the caller waits.
        pub timeout: Option<Millis>,
        /// The caller's key.
        pub key: Option<String>,
        /// The prompt's size, if it is one.
        pub size: Option<Size>,
        /// The last event that the caller has of a stream.
        pub last: Option<u64>,
    }
}

/// What a backend server is told besides the caller's request.
#[derive(Clone, Debug)]
pub struct ForwardHeaders<'a> {
    /// The server that it is meant for; any other one must not run it.
    pub server: &'a ServerId,
    /// The time that is left.
    pub left: Millis,
    /// The caller's organisation.
    pub organisation: Option<&'a OrgId>,
    /// Engines that read parts of the prompt, with the tickets of those that keep theirs.
    pub helpers: &'a [(SocketAddr, Option<ReservationId>)],
    /// The place in the engine's queue, 0 to 9; 0 goes first.
    pub urgency: Option<u8>,
    /// The last event that was passed on, if a stream goes on.
    pub last: Option<u64>,
}

crate::data! {
    /// What the head of a backend server's answer says.
    pub struct ResponseHead {
        /// The request that it answers.
        pub id: Option<CallId>,
        /// Whether it bears the server's receipt.
        pub sealed: bool,
        /// Whether the server says that it did not run the request.
        pub refused: bool,
        /// The server that is to blame for a refusal, by name or address: a helper, perhaps.
        pub culprit: Option<String>,
    }
}

/// Reads and writes heads in that language.
pub trait Dialect: 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// The head is not what callers should send.
    fn parse_request(&self, head: &Parts) -> Result<Call, Failure>;

    /// Writes the headers that a backend server gets in place of the caller's own.
    fn write_headers(&self, headers: &mut HeaderMap, forward: &ForwardHeaders<'_>);

    /// The order by which an engine sets memory aside at once, or renews it; it answers with 200.
    fn reserve(&self, reservation: &Reservation) -> Request<Full<Bytes>>;

    /// The order by which an engine takes the memory back.
    fn release(&self, reservation: &ReservationId) -> Request<Full<Bytes>>;

    /// Reads the head of a backend server's answer.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// The whole answer of a request that failed here.
    fn failure_reply(&self, call: Option<&Call>, failure: &Failure) -> Reply;
}
