//! A response whose head has arrived.

use hyper::Response;
use hyper::body::Incoming;

use crate::direct::Connection;
use crate::direct::Grant;
use crate::direct::Outcome;

/// A backend server's response, with the grant and the connection to return after it.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The response.
    pub response: Response<Incoming>,
    /// The grant for the backend server.
    pub grant: Grant,
    /// The connection that carries the body.
    pub connection: Connection,
}

impl UpstreamResponse {
    /// Returns the connection to the pool and ends the grant after the whole body was read.
    pub fn finish(grant: Grant, connection: Connection, outcome: Outcome) {
        connection.give_back();
        grant.finish(outcome);
    }
}
