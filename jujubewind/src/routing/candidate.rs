//! A backend server as membership knows it.

use crate::types::DomainId;
use crate::types::ModelId;
use crate::types::NodeId;

/// An agent with what membership knows about its backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The agent.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The models or services it serves.
    pub models: Vec<ModelId>,
    /// Whether it is draining and accepts no new work.
    pub leaving: bool,
    /// Whether its heartbeats are missing; it is asked only if no other agent is available.
    pub suspect: bool,
}

impl Candidate {
    /// Whether it accepts new work for `model`.
    #[must_use]
    pub fn serves(&self, model: &ModelId) -> bool {
        !self.leaving && self.models.contains(model)
    }
}
