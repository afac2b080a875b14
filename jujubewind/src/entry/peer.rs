//! What an entry answers to other processes of ours.

use tarpc::context::Context;

use super::control::Control;
use crate::rpc::Peer;
use crate::rpc::message::Gossip;

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
}
