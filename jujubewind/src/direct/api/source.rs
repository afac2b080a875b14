//! The response that a stream is currently read from.

use hyper::body::Incoming;

use super::events::EventSplitter;
use super::events::Events;
use super::hop::is_framed;
use super::upstream_response::UpstreamResponse;
use crate::direct::Connection;
use crate::direct::Grant;

/// The body of a streamed response, with the grant and the connection to return after it.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) body: Incoming,
    pub(super) grant: Grant,
    pub(super) connection: Connection,
    /// Whether the response tells its end, so that a closed connection is not mistaken for it.
    pub(super) is_framed: bool,
    /// The first events, if they have been read and not been forwarded.
    pub(super) first: Option<Events>,
    /// Buffers a partial event.
    pub(super) events: EventSplitter,
}

impl Source {
    pub(super) fn new(mut upstream: UpstreamResponse) -> Self {
        Self {
            first: upstream.take_first(),
            is_framed: is_framed(upstream.response.headers()),
            body: upstream.response.into_body(),
            grant: upstream.grant,
            connection: upstream.connection,
            events: upstream.events,
        }
    }
}
