//! What an entry answers to other processes of ours.

use tarpc::context::Context;

use super::control::Control;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Query;
use crate::catalogue::follow::Source;
use crate::catalogue::follow::Update;
use crate::rpc::Peer;
use crate::rpc::message::Gossip;
use crate::types::NodeId;

/// Answers calls by asking the control task.
#[derive(Clone, Debug)]
pub struct PeerServer {
    control: Control,
}

impl PeerServer {
    /// Makes a server that asks `control`.
    pub fn new(control: Control) -> Self {
        Self { control }
    }
}

impl Peer for PeerServer {
    async fn gossip(self, _: Context, news: Gossip) -> Option<Gossip> {
        self.control.gossip(news).await
    }

    async fn catalogue(self, _: Context, ask: Query) -> Answer {
        self.control.catalogue(ask).await
    }

    async fn offer(self, _: Context, sender: NodeId, update: Update) {
        self.control.offer(Source::Peer(sender), update);
    }
}
