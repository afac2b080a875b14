//! What a connection to a backend server is used for.

/// What is sent on a connection.
///
/// Responses to orders name no request. A late copy of one must not be read where the response to a
/// request is expected, so orders have connections of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Requests that may run again.
    Request,
    /// A request that may run once only. It gets a connection that was used recently, or a new one:
    /// an older one may break while the request is sent, which leaves its outcome unknown.
    SingleRun,
    /// Orders about reserved memory.
    Order,
}
