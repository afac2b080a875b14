//! What the task that owns the entry's shared state is asked.

use std::net::SocketAddr;

use flume::Sender;

use crate::catalogue::Entry;
use crate::entry::Failure;
use crate::entry::Job;
use crate::entry::request::Target;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::AgentStatus;
use crate::rpc::message::QuoteReply;
use crate::types::ModelId;
use crate::types::NodeId;
use crate::types::OrgId;
use crate::types::Tokens;

/// A caller's wish before it is admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The caller's key, as the header gave it.
    pub key: Option<String>,
    /// The model or service asked for.
    pub name: ModelId,
    /// The prompt's length.
    pub prompt: Tokens,
    /// The longest answer, if the caller names one.
    pub output: Option<Tokens>,
}

/// What an admitted request may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The organisation that pays.
    pub org: OrgId,
    /// The catalogue entry.
    pub entry: Entry,
}

/// A message to the task; the sender in it takes the answer.
#[derive(Debug)]
pub enum Message {
    /// May this request be served?
    Admit(Admission, Sender<Result<Permit, Failure>>),
    /// A request that was admitted is over.
    Release(OrgId),
    /// Which agents should be asked?
    Candidates(Box<Job>, Vec<NodeId>, Sender<Result<Vec<Target>, Refusal>>),
    /// Which of these estimates is best?
    Pick(Vec<(Target, QuoteReply)>, Sender<Result<Target, Refusal>>),
    /// May a request be tried again?
    Retry(Sender<Result<(), Refusal>>),
    /// Which agents stand beside this plain service?
    Services(ModelId, Sender<Vec<Target>>),
    /// What are the names that this caller may use?
    Names(Option<String>, Sender<Result<Vec<ModelId>, Failure>>),
    /// An agent answered, or did not.
    Learned(SocketAddr, Option<AgentStatus>),
    /// A request was refused or failed for this reason.
    Failed(Reason),
    /// A frame of another attempt was dropped.
    Dropped,
    /// Is the entry ready for callers?
    Ready(Sender<bool>),
    /// The metrics as text.
    Metrics(Sender<String>),
}
