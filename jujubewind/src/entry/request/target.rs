//! An agent as the addressee of an attempt.

use std::net::SocketAddr;

use crate::types::Millis;
use crate::types::NodeId;

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The agent.
    pub node: NodeId,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether the request runs alone there.
    pub alone: bool,
    /// The group it leads, if the prompt needs several engines.
    pub group: Option<Box<Helpers>>,
}

/// The engines that share a prompt with their leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helpers {
    /// The other agents.
    pub targets: Vec<Target>,
    /// How long the group is predicted to last.
    pub span: Millis,
}

impl Target {
    /// A single agent.
    #[must_use]
    pub fn single(node: NodeId, addr: SocketAddr) -> Self {
        Self {
            node,
            addr,
            alone: false,
            group: None,
        }
    }

    /// How many engines share the prompt.
    #[must_use]
    pub fn parts(&self) -> u64 {
        let helpers = self.group.as_ref().map_or(0, |group| group.targets.len());
        helpers as u64 + 1
    }
}
