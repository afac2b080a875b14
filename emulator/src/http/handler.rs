//! Interface between the server and request handlers.

use std::future::Future;
use std::rc::Rc;

use super::Call;
use super::Reply;

/// Makes the server close the connection without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("connection closed without a response")]
pub struct HangUp;

/// Request handler that runs on a single thread.
pub trait Handler: 'static {
    /// Responds to one request or closes the connection.
    fn handle(self: Rc<Self>, call: Call) -> impl Future<Output = Result<Reply, HangUp>>;
}
