//! Carrying the messages that membership wants sent.

use super::AgentClient;
use super::Connections;
use super::PeerClient;
use super::message::Gossip;
use crate::membership::Outgoing;
use crate::membership::Role;
use crate::types::Millis;

/// The longest wait for an answer to a message of membership.
const TIMEOUT: Millis = Millis(1_500);

/// Clients of entries and agents for membership's messages.
#[derive(Clone, Default)]
pub struct GossipLink {
    entries: Connections<PeerClient>,
    agents: Connections<AgentClient>,
}

impl GossipLink {
    /// Sends each message in a task of its own and hands the answers to `answered`.
    pub fn send(&self, messages: Vec<Outgoing>, answered: impl Fn(Gossip) + Clone + 'static) {
        for message in messages {
            let link = self.clone();
            let answered = answered.clone();
            let work = async move {
                if let Some(answer) = link.call(message).await {
                    answered(answer);
                }
            };
            compio::runtime::spawn(work).detach();
        }
    }

    /// Makes one call; a failure is silence, which membership's own timers notice.
    async fn call(&self, message: Outgoing) -> Option<Gossip> {
        let Outgoing {
            role,
            addr,
            message: gossip,
        } = message;
        match role {
            Role::Entry => {
                let call = async |peer: &PeerClient, context| peer.gossip(context, gossip).await;
                self.entries.call(addr, TIMEOUT, call).await.ok().flatten()
            }
            Role::Agent => {
                let call = async |agent: &AgentClient, context| agent.gossip(context, gossip).await;
                self.agents.call(addr, TIMEOUT, call).await.ok().flatten()
            }
        }
    }
}
