//! The status report of an agent.

use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::ModelId;
use crate::types::NodeId;
use crate::types::Tokens;

crate::data! {
    /// Status of an agent and its backend server.
    pub struct AgentStatus {
        /// The agent's name.
        pub node: NodeId,
        /// The incarnation of its process.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: DomainId,
        /// The models or services it serves.
        pub models: Vec<ModelId>,
        /// Whether it is leaving and accepts no new work.
        pub leaving: bool,
        /// Number of attempts, waiting or running.
        pub attempts: u64,
        /// Reserved KV cache memory, in tokens.
        pub reserved: Tokens,
        /// KV cache memory of the engine, in tokens.
        pub capacity: Tokens,
    }
}
