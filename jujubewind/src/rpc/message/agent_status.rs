//! An agent's report to an operator.

use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::ModelId;
use crate::types::NodeId;
use crate::types::Tokens;

crate::data! {
    /// What an agent says of itself and its backend server.
    pub struct AgentStatus {
        /// The agent.
        pub node: NodeId,
        /// Its start number.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: DomainId,
        /// The models or services it serves.
        pub models: Vec<ModelId>,
        /// Whether it takes no new work.
        pub leaving: bool,
        /// Attempts held, waiting or running.
        pub attempts: u64,
        /// Memory reserved, in tokens of KV cache.
        pub reserved: Tokens,
        /// Memory of the engine, in tokens of KV cache.
        pub capacity: Tokens,
    }
}
