//! The entry's RPC server for other entries and agents.

use tarpc::context::Context;

use super::control::Control;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Query;
use crate::catalogue::follow::Source;
use crate::catalogue::follow::Update;
use crate::rpc::Peer;
use crate::rpc::message::Gossip;
use crate::types::NodeId;

/// Forwards calls to the control task.
#[derive(Clone, Debug)]
pub struct PeerServer {
    control: Control,
}

impl PeerServer {
    /// Creates a server that forwards calls to `control`.
    pub fn new(control: Control) -> Self {
        Self { control }
    }
}

impl Peer for PeerServer {
    async fn gossip(self, _: Context, gossip: Gossip) -> Option<Gossip> {
        self.control.gossip(gossip).await
    }

    async fn catalogue(self, _: Context, request: Query) -> Answer {
        self.control.catalogue(request).await
    }

    async fn offer(self, _: Context, sender: NodeId, update: Update) {
        self.control.offer(Source::Peer(sender), update);
    }
}
