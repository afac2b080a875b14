//! Sends the gossip messages of membership.

use super::AgentClient;
use super::Connections;
use super::PeerClient;
use super::Room;
use super::message::Gossip;
use crate::membership::Outgoing;
use crate::membership::Role;
use crate::types::Millis;

/// How long to wait for the answer to a gossip message.
const CALL_TIMEOUT: Millis = Millis(1_500);

/// Clients that send gossip messages to entries and agents.
#[derive(Clone)]
pub struct GossipLink {
    entries: Connections<PeerClient>,
    agents: Connections<AgentClient>,
}

impl GossipLink {
    /// Creates clients whose responses are held in `room`.
    #[must_use]
    pub fn new(room: &Room) -> Self {
        Self {
            entries: Connections::new(room.clone()),
            agents: Connections::new(room.clone()),
        }
    }

    /// Sends each message in its own task and passes the answers to `on_answer`.
    pub fn send(&self, messages: Vec<Outgoing>, on_answer: impl Fn(Gossip) + Clone + 'static) {
        for message in messages {
            let link = self.clone();
            let on_answer = on_answer.clone();
            let task = async move {
                if let Some(answer) = link.call(message).await {
                    on_answer(answer);
                }
            };
            compio::runtime::spawn(task).detach();
        }
    }

    /// Makes one call; failures are ignored, since membership detects silent members by timeout.
    async fn call(&self, message: Outgoing) -> Option<Gossip> {
        let Outgoing {
            role,
            addr,
            message: gossip,
        } = message;
        match role {
            Role::Entry => {
                let call = async |peer: &PeerClient, context| peer.gossip(context, gossip).await;
                self.entries
                    .call(addr, CALL_TIMEOUT, call)
                    .await
                    .ok()
                    .flatten()
            }
            Role::Agent => {
                let call = async |agent: &AgentClient, context| agent.gossip(context, gossip).await;
                self.agents
                    .call(addr, CALL_TIMEOUT, call)
                    .await
                    .ok()
                    .flatten()
            }
        }
    }
}
