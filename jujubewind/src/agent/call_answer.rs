//! What a plain service answered to a call.

use crate::pace::NamedLimit;
use crate::rpc::message::CallReply;

/// How a call ended, and what the response says about the requests that the service takes.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// How it ended.
    pub reply: CallReply,
    /// The limit that the response names; `None` without a response.
    pub limit: Option<NamedLimit>,
}

impl CallAnswer {
    /// The end of a call to which there is no response.
    pub(super) const fn without_response(reply: CallReply) -> Self {
        let limit = None;
        Self { reply, limit }
    }
}
