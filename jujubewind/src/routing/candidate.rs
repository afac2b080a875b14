//! A backend server as the membership view shows it.

use crate::types::DomainId;
use crate::types::ModelId;
use crate::types::NodeId;

/// One agent and what is known of the backend server beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The agent.
    pub node: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The models or services it serves.
    pub models: Vec<ModelId>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it has not been heard of lately; asked only when nobody else is left.
    pub suspect: bool,
}

impl Candidate {
    /// Whether new work for `model` may go there.
    #[must_use]
    pub fn serves(&self, model: &ModelId) -> bool {
        !self.leaving && self.models.contains(model)
    }
}
