//! A request that was sent and whose response has not begun.

use std::pin::Pin;

use hyper::Response;
use hyper::body::Incoming;

use crate::direct::Connection;
use crate::direct::Grant;
use crate::direct::SendFault;

/// The head of a response, or why there is none, and the connection that carries the body.
pub(super) type SentHead = (Connection, Result<Response<Incoming>, SendFault>);

/// A request that was sent to a backend server; dropping it closes the connection.
pub(super) struct SentRequest {
    /// The grant for the backend server.
    pub(super) grant: Grant,
    /// Completes with the head.
    pub(super) response: Pin<Box<dyn Future<Output = SentHead>>>,
}

impl SentRequest {
    /// Waits for the head of the response; `None` if reserved memory was lost. May be cancelled and
    /// called again.
    pub(super) async fn head(&mut self) -> Option<SentHead> {
        self.grant.while_held(self.response.as_mut()).await
    }
}
