//! The protocol of callers and backend servers, which the platform defines.

use std::net::SocketAddr;

use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::request::Parts;

use super::Notice;
use super::Order;
use super::OrderReply;
use super::OrgName;
use super::ServerId;
use crate::entry::Failure;
use crate::http::Reply;
use crate::http::WholeBody;
use crate::types::Millis;
use crate::types::Tokens;

crate::name! {
    /// The id that a caller gives one attempt of a request.
    pub struct CallId;
}

crate::name! {
    /// The id of a memory reservation at an engine.
    pub struct ReservationId;
}

crate::data! {
    /// A memory reservation at an engine.
    pub struct Reservation {
        /// Its id.
        pub id: ReservationId,
        /// The reserved memory.
        pub memory: Tokens,
        /// How long it is held, counted from the arrival of the order.
        pub hold: Millis,
    }
}

crate::data! {
    /// The length of a prompt and the longest output.
    pub struct Size {
        /// The length of the prompt.
        pub prompt: Tokens,
        /// The longest output.
        pub output: Tokens,
    }
}

crate::name! {
    /// The id of a part of a prompt that other prompts may share.
    pub struct PartId;
}

crate::data! {
    /// The parsed head of a caller's request.
    pub struct Call {
        /// The caller's id of this attempt.
        pub id: CallId,
        /// How long the caller waits for the response.
        pub timeout: Option<Millis>,
        /// The caller's API key.
        pub key: Option<String>,
        /// The token counts, if it is a request to an engine.
        pub size: Option<Size>,
        /// The last event that the caller has of a stream.
        pub last: Option<u64>,
        /// The parts of the prompt that other requests may share.
        pub parts: Vec<PartId>,
    }
}

/// What is added to a request when it is forwarded to a backend server.
#[derive(Clone, Debug)]
pub struct ForwardHeaders<'a> {
    /// The server that the request is meant for; no other one may run it.
    pub server: &'a ServerId,
    /// The time left until the deadline.
    pub left: Millis,
    /// The caller's organisation.
    pub organisation: Option<&'a OrgName>,
    /// Engines that prefill parts of the prompt, with the reservations of those that keep their
    /// part.
    pub helpers: &'a [(SocketAddr, Option<ReservationId>)],
    /// The urgency in the engine's queue, 0 to 9; 0 is served first.
    pub urgency: Option<u8>,
    /// The last event that the caller has, if a stream is resumed.
    pub last: Option<u64>,
}

crate::data! {
    /// The parsed head of a backend server's response.
    pub struct ResponseHead {
        /// The attempt that it responds to.
        pub id: Option<CallId>,
        /// Whether it carries the server's seal.
        pub sealed: bool,
        /// Whether the server states that it did not run the request.
        pub refused: bool,
        /// The name or address of the server that caused a refusal, which may be a helper.
        pub culprit: Option<String>,
    }
}

/// Parses and writes the headers of this protocol.
pub trait Dialect: 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// A header is missing or malformed.
    fn parse_request(&self, head: &Parts) -> Result<Call, Failure>;

    /// Replaces the caller's headers by those that a backend server gets.
    fn write_headers(&self, headers: &mut HeaderMap, forward: &ForwardHeaders<'_>);

    /// Builds the order that makes the engine `server` reserve memory at once, or renew a
    /// reservation.
    fn reserve(&self, server: &ServerId, reservation: &Reservation) -> Request<WholeBody>;

    /// Builds the order that releases a reservation at the engine `server`.
    fn release(&self, server: &ServerId, reservation: &ReservationId) -> Request<WholeBody>;

    /// What the backend server announces of itself in a response of any kind.
    fn parse_notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Interprets the status of the response to an order.
    fn parse_order_reply(&self, order: Order, status: StatusCode) -> OrderReply;

    /// Parses the head of a backend server's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Builds the reply to a request that failed.
    fn failure_reply(&self, call: Option<&Call>, failure: &Failure) -> Reply;
}
