//! The entry's RPC clients for agents.

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::Job;
use super::request::Target;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::AgentClient;
use crate::rpc::Connections;
use crate::rpc::Error;
use crate::rpc::Room;
use crate::rpc::message::Call;
use crate::rpc::message::CallReply;
use crate::rpc::message::Cancel;
use crate::rpc::message::CancelReply;
use crate::rpc::message::Envelope;
use crate::rpc::message::Hold;
use crate::rpc::message::HoldReply;
use crate::rpc::message::Pull;
use crate::rpc::message::PullReply;
use crate::rpc::message::QuoteReply;
use crate::rpc::message::Start;
use crate::rpc::message::StartReply;
use crate::types::AttemptId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;
use crate::types::Tokens;

/// How long to wait for the remaining quotes after the first.
const QUOTE_WAIT: Millis = Millis(50);
/// Timeout of the first quote.
const QUOTE_TIMEOUT: Millis = Millis(1_000);
/// Timeout of a start.
const START_TIMEOUT: Millis = Millis(3_000);
/// Timeout of a hold.
const HOLD_TIMEOUT: Millis = Millis(800);
/// Longest time for which an agent may delay the reply to a pull until tokens are available.
const PULL_WAIT: Millis = Millis(1_000);
/// Network latency allowed on top of a pull's wait.
const PULL_MARGIN: Millis = Millis(1_000);
/// Timeout of a cancel.
const CANCEL_TIMEOUT: Millis = Millis(2_000);

/// Calls agents; every message carries the identity of this process. Clones share connections.
#[derive(Clone)]
pub struct AgentClients {
    connections: Connections<AgentClient>,
    node: NodeId,
    incarnation: Incarnation,
}

impl AgentClients {
    /// Creates the clients of the process `node` with the given `incarnation`, whose responses are held
    /// in `room`.
    pub fn new(node: NodeId, incarnation: Incarnation, room: Room) -> Self {
        Self {
            connections: Connections::new(room),
            node,
            incarnation,
        }
    }

    /// Returns the envelope of a message about `attempt`.
    pub fn envelope(&self, attempt: AttemptId, remaining: Millis) -> Envelope {
        Envelope {
            attempt,
            sender: self.node.clone(),
            incarnation: self.incarnation,
            remaining,
        }
    }

    /// Asks the targets for estimates and returns those that arrive in time.
    pub async fn quotes(
        &self,
        job: &Job,
        parts: u64,
        targets: Vec<Target>,
        remaining: Millis,
    ) -> Vec<(Target, QuoteReply)> {
        let quotes: FuturesUnordered<_> = targets
            .into_iter()
            .map(|target| self.quote(job, parts, target, remaining))
            .collect();
        let mut quotes = quotes.filter_map(std::future::ready).boxed_local();
        let mut replies = Vec::new();
        replies.extend(quotes.next().await);
        let rest = async {
            while let Some(reply) = quotes.next().await {
                replies.push(reply);
            }
        };
        let _ = compio::time::timeout(QUOTE_WAIT.duration(), rest).await;
        replies
    }

    async fn quote(
        &self,
        job: &Job,
        parts: u64,
        target: Target,
        remaining: Millis,
    ) -> Option<(Target, QuoteReply)> {
        let no_attempt = AttemptId::from_number(0);
        let message = job.quote(self.envelope(no_attempt, remaining), parts, target.alone);
        let timeout = remaining.min(QUOTE_TIMEOUT);
        let call = async |agent: &AgentClient, context| agent.quote(context, message).await;
        let reply = self
            .connections
            .call(target.addr, timeout, call)
            .await
            .ok()?;
        Some((target, reply))
    }

    /// Asks an agent to reserve memory for a part of a group, or to renew the reservation.
    pub async fn hold(&self, target: &Target, message: Hold) -> HoldReply {
        let call = async |agent: &AgentClient, context| agent.hold(context, message).await;
        let outcome = self.connections.call(target.addr, HOLD_TIMEOUT, call).await;
        outcome.unwrap_or(HoldReply::Refused(Refusal {
            reason: Reason::BackendDown,
            retry: HOLD_TIMEOUT,
        }))
    }

    /// Starts a request at an agent.
    pub async fn start(
        &self,
        job: &Job,
        target: &Target,
        attempt: AttemptId,
        offset: Tokens,
        remaining: Millis,
    ) -> Result<StartReply, Error> {
        let message = Start {
            quote: job.quote(
                self.envelope(attempt, remaining),
                target.parts(),
                target.alone,
            ),
            text: job.text.clone(),
            offset,
        };
        let timeout = remaining.min(START_TIMEOUT);
        let call = async |agent: &AgentClient, context| agent.start(context, message).await;
        self.connections.call(target.addr, timeout, call).await
    }

    /// Pulls tokens from an agent; `None` if it did not answer.
    pub async fn pull(
        &self,
        target: &Target,
        attempt: AttemptId,
        offset: Tokens,
        remaining: Millis,
    ) -> Option<PullReply> {
        let message = Pull {
            envelope: self.envelope(attempt, remaining),
            offset,
            wait: remaining.min(PULL_WAIT),
        };
        let timeout = message.wait.saturating_add(PULL_MARGIN);
        let call = async |agent: &AgentClient, context| agent.pull(context, message).await;
        self.connections.call(target.addr, timeout, call).await.ok()
    }

    /// Fences an attempt that was first sent `age` ago.
    pub async fn cancel(
        &self,
        target: &Target,
        attempt: AttemptId,
        age: Millis,
        remaining: Millis,
    ) -> CancelReply {
        let message = Cancel {
            envelope: self.envelope(attempt, remaining),
            age,
        };
        let call = async |agent: &AgentClient, context| agent.cancel(context, message).await;
        let outcome = self
            .connections
            .call(target.addr, CANCEL_TIMEOUT, call)
            .await;
        outcome.unwrap_or(CancelReply::Unknown)
    }

    /// Calls a plain service through its agent.
    pub async fn call(&self, target: &Target, message: Call) -> Result<CallReply, Error> {
        let timeout = message.envelope.remaining;
        let call = async |agent: &AgentClient, context| agent.call(context, message).await;
        self.connections.call(target.addr, timeout, call).await
    }
}
