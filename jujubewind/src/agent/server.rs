//! The agent's RPC server, which forwards each call to the task that owns the state.

use std::sync::Arc;

use flume::Sender;
use tarpc::context::Context;

use super::message::Message;
use crate::memory::Account;
use crate::memory::Purpose;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::Agent;
use crate::rpc::message::AgentStatus;
use crate::rpc::message::Call;
use crate::rpc::message::CallReply;
use crate::rpc::message::Cancel;
use crate::rpc::message::CancelReply;
use crate::rpc::message::Gossip;
use crate::rpc::message::Hold;
use crate::rpc::message::HoldReply;
use crate::rpc::message::Pull;
use crate::rpc::message::PullReply;
use crate::rpc::message::Quote;
use crate::rpc::message::QuoteReply;
use crate::rpc::message::Start;
use crate::rpc::message::StartReply;
use crate::types::Millis;
use crate::util::query;

/// Retry delay for callers of a process that is stopping.
const STOPPING_DELAY: Millis = Millis(100);

/// Answers calls by querying the agent's task.
#[derive(Clone, Debug)]
pub struct Server {
    messages: Sender<Message>,
    account: Arc<Account>,
}

impl Server {
    /// Creates a server that forwards calls to `messages`; prompts are counted in `account`.
    pub fn new(messages: Sender<Message>, account: Arc<Account>) -> Self {
        Self { messages, account }
    }
}

impl Agent for Server {
    async fn quote(self, _: Context, request: Quote) -> QuoteReply {
        let reply = query(&self.messages, |tx| Message::Quote(request, tx)).await;
        reply.unwrap_or_else(|| QuoteReply::Refused(stopping()))
    }

    async fn hold(self, _: Context, request: Hold) -> HoldReply {
        let reply = query(&self.messages, |tx| Message::Hold(request, tx)).await;
        reply.unwrap_or_else(|| HoldReply::Refused(stopping()))
    }

    async fn start(self, _: Context, mut request: Start) -> StartReply {
        let mut charge = self.account.open(Purpose::Request);
        // Once more for the request to the engine.
        if !charge.resize(2 * request.text.len()) {
            return StartReply::Refused(Refusal::no_room());
        }
        request.text = request.text.with_charge(charge);
        let reply = query(&self.messages, |tx| Message::Start(Box::new(request), tx)).await;
        reply.unwrap_or_else(|| StartReply::Refused(stopping()))
    }

    async fn pull(self, _: Context, request: Pull) -> PullReply {
        let reply = query(&self.messages, |tx| Message::Pull(request, tx)).await;
        reply.unwrap_or(PullReply::Unknown)
    }

    async fn cancel(self, _: Context, request: Cancel) -> CancelReply {
        let reply = query(&self.messages, |tx| Message::Cancel(request, tx)).await;
        reply.unwrap_or(CancelReply::Unknown)
    }

    async fn call(self, _: Context, request: Call) -> CallReply {
        let reply = query(&self.messages, |tx| Message::Call(request, tx)).await;
        reply.unwrap_or(CallReply::Unknown)
    }

    async fn gossip(self, _: Context, gossip: Gossip) -> Option<Gossip> {
        query(&self.messages, |tx| Message::Gossip(Box::new(gossip), tx)).await
    }

    async fn status(self, _: Context) -> Option<AgentStatus> {
        query(&self.messages, Message::Status).await
    }
}

fn stopping() -> Refusal {
    Refusal {
        reason: Reason::Stopping,
        retry: STOPPING_DELAY,
    }
}
