//! The agent that receives an attempt.

use std::net::SocketAddr;

use crate::types::Millis;
use crate::types::NodeId;

/// The destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The agent.
    pub node: NodeId,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether the request runs there with no other requests, as it is suspected of crashing
    /// engines.
    pub alone: bool,
    /// The other members of the group that it leads, if the prompt needs several engines.
    pub group: Option<Box<Helpers>>,
}

/// The engines that share a prompt with their leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helpers {
    /// The other agents.
    pub targets: Vec<Target>,
    /// Predicted duration of the group's work.
    pub span: Millis,
}

impl Target {
    /// Creates a target without a group.
    #[must_use]
    pub fn single(node: NodeId, addr: SocketAddr) -> Self {
        Self {
            node,
            addr,
            alone: false,
            group: None,
        }
    }

    /// The number of engines that share the prompt.
    #[must_use]
    pub fn parts(&self) -> u64 {
        let helpers = self.group.as_ref().map_or(0, |group| group.targets.len());
        helpers as u64 + 1
    }
}
