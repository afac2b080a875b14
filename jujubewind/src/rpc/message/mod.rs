//! Messages between Jujubewind processes, one file per call.

mod agent_status;
mod call;
mod cancel;
mod envelope;
mod gossip;
mod hold;
mod pull;
mod quote;
mod start;

pub use agent_status::AgentStatus;
pub use call::Call;
pub use call::CallReply;
pub use cancel::Cancel;
pub use cancel::CancelReply;
pub use envelope::Envelope;
pub use gossip::BucketDigests;
pub use gossip::DomainSummary;
pub use gossip::Gossip;
pub use gossip::GossipBody;
pub use hold::Hold;
pub use hold::HoldReply;
pub use pull::Chunk;
pub use pull::Finish;
pub use pull::Pull;
pub use pull::PullReply;
pub use quote::Quote;
pub use quote::QuoteReply;
pub use start::Start;
pub use start::StartReply;
