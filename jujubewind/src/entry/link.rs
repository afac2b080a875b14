//! The entry's calls to agents.

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::Job;
use super::request::Target;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::AgentClient;
use crate::rpc::Connections;
use crate::rpc::Error;
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

/// The wait for the remaining quotes once one has come.
const QUOTE_WAIT: Millis = Millis(50);
/// The longest wait for the first quote.
const QUOTE_TIMEOUT: Millis = Millis(1_000);
/// The longest wait for a start's answer.
const START_TIMEOUT: Millis = Millis(3_000);
/// The longest wait for the answer to a hold.
const HOLD_TIMEOUT: Millis = Millis(800);
/// The longest wait of a pull at the agent.
const PULL_WAIT: Millis = Millis(1_000);
/// What the network may add to a pull's wait.
const PULL_MARGIN: Millis = Millis(1_000);
/// The longest wait for a cancel's answer.
const CANCEL_TIMEOUT: Millis = Millis(2_000);

/// The agents' clients and this process's name on every message.
#[derive(Clone)]
pub struct Link {
    agents: Connections<AgentClient>,
    node: NodeId,
    incarnation: Incarnation,
}

impl Link {
    /// Makes the calls of the process `node` in its life `incarnation`.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            agents: Connections::default(),
            node,
            incarnation,
        }
    }

    /// The envelope of a message about `attempt`.
    pub fn envelope(&self, attempt: AttemptId, remaining: Millis) -> Envelope {
        Envelope {
            attempt,
            sender: self.node.clone(),
            incarnation: self.incarnation,
            remaining,
        }
    }

    /// Asks the targets for estimates and returns those that came in time.
    pub async fn quotes(
        &self,
        job: &Job,
        parts: u64,
        targets: Vec<Target>,
        remaining: Millis,
    ) -> Vec<(Target, QuoteReply)> {
        let asks: FuturesUnordered<_> = targets
            .into_iter()
            .map(|target| self.quote(job, parts, target, remaining))
            .collect();
        let mut asks = asks.filter_map(std::future::ready).boxed_local();
        let mut replies = Vec::new();
        replies.extend(asks.next().await);
        let rest = async {
            while let Some(reply) = asks.next().await {
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
        let nobody = AttemptId::from_number(0);
        let ask = job.quote(self.envelope(nobody, remaining), parts, target.alone);
        let timeout = remaining.min(QUOTE_TIMEOUT);
        let call = async |agent: &AgentClient, context| agent.quote(context, ask).await;
        let reply = self.agents.call(target.addr, timeout, call).await.ok()?;
        Some((target, reply))
    }

    /// Asks an agent to hold, or to go on holding, a part of a group.
    pub async fn hold(&self, target: &Target, ask: Hold) -> HoldReply {
        let call = async |agent: &AgentClient, context| agent.hold(context, ask).await;
        let outcome = self.agents.call(target.addr, HOLD_TIMEOUT, call).await;
        outcome.unwrap_or(HoldReply::Refused(Refusal {
            reason: Reason::BackendDown,
            retry: HOLD_TIMEOUT,
        }))
    }

    /// Hands a request to an agent.
    pub async fn start(
        &self,
        job: &Job,
        target: &Target,
        attempt: AttemptId,
        offset: Tokens,
        remaining: Millis,
    ) -> Result<StartReply, Error> {
        let order = Start {
            quote: job.quote(
                self.envelope(attempt, remaining),
                target.parts(),
                target.alone,
            ),
            text: job.text.clone(),
            offset,
        };
        let timeout = remaining.min(START_TIMEOUT);
        let call = async |agent: &AgentClient, context| agent.start(context, order).await;
        self.agents.call(target.addr, timeout, call).await
    }

    /// Asks an agent for tokens; `None` if no answer came.
    pub async fn pull(
        &self,
        target: &Target,
        attempt: AttemptId,
        offset: Tokens,
        remaining: Millis,
    ) -> Option<PullReply> {
        let ask = Pull {
            envelope: self.envelope(attempt, remaining),
            offset,
            wait: remaining.min(PULL_WAIT),
        };
        let timeout = ask.wait.saturating_add(PULL_MARGIN);
        let call = async |agent: &AgentClient, context| agent.pull(context, ask).await;
        self.agents.call(target.addr, timeout, call).await.ok()
    }

    /// Fences an attempt that was first sent `age` ago.
    pub async fn cancel(
        &self,
        target: &Target,
        attempt: AttemptId,
        age: Millis,
        remaining: Millis,
    ) -> CancelReply {
        let ask = Cancel {
            envelope: self.envelope(attempt, remaining),
            age,
        };
        let call = async |agent: &AgentClient, context| agent.cancel(context, ask).await;
        let outcome = self.agents.call(target.addr, CANCEL_TIMEOUT, call).await;
        outcome.unwrap_or(CancelReply::Unknown)
    }

    /// Makes one call to a plain service through its agent.
    pub async fn call(&self, target: &Target, order: Call) -> Result<CallReply, Error> {
        let timeout = order.envelope.remaining;
        let call = async |agent: &AgentClient, context| agent.call(context, order).await;
        self.agents.call(target.addr, timeout, call).await
    }
}
