//! What a server does with a request.

use std::future::Future;
use std::rc::Rc;

use super::Call;
use super::Reply;

/// Tells the server to close the connection without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed without an answer")]
pub struct HangUp;

/// Answers requests; lives on one thread.
pub trait Handler: 'static {
    /// Answers one request, or hangs up.
    fn handle(self: Rc<Self>, call: Call) -> impl Future<Output = Result<Reply, HangUp>>;
}
