//! Messages to the control task.

use flume::Sender;

use crate::catalogue::Entry;
use crate::catalogue::Head;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Query;
use crate::catalogue::follow::Source;
use crate::catalogue::follow::Update;
use crate::claims::Holder;
use crate::conviction::Crash;
use crate::conviction::Fingerprint;
use crate::entry::EntryStatus;
use crate::entry::Failure;
use crate::entry::Job;
use crate::entry::request::Target;
use crate::limits::Charge;
use crate::limits::Rates;
use crate::membership::Seed;
use crate::metrics::HeldMetrics;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::Gossip;
use crate::rpc::message::QuoteReply;
use crate::types::Class;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::OrgId;
use crate::types::Revision;
use crate::types::Tokens;

/// A request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The caller's API key from the header.
    pub key: Option<String>,
    /// The model or service asked for.
    pub name: ModelId,
    /// The prompt's length.
    pub prompt: Tokens,
    /// The maximum length of the answer.
    pub output: Tokens,
}

/// The admission of a request, with the limits it was charged to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The organisation that pays.
    pub org: OrgId,
    /// The catalogue entry.
    pub entry: Entry,
    /// The prompt's length.
    pub prompt: Tokens,
    /// The maximum length of the answer that the limits allow.
    pub output: Tokens,
    /// What was taken from the limits.
    pub charge: Charge,
    /// The limits it was taken from.
    pub rates: Rates,
}

/// The placement of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The agent that gets the request.
    Target(Target),
    /// No single engine can hold the prompt: ask for estimates again, for this many parts.
    Split(u64),
}

/// A message to the control task; the sender in it receives the answer.
#[derive(Debug)]
pub enum Message {
    /// Admits a request.
    Admit(Admission, Sender<Result<Permit, Failure>>),
    /// Ends an admitted request whose answer had this many tokens.
    Release(Box<Permit>, Tokens),
    /// Chooses the agents to ask for an estimate.
    Candidates(
        Box<Job>,
        u64,
        Vec<NodeId>,
        Sender<Result<Vec<Target>, Refusal>>,
    ),
    /// Picks the best of these estimates.
    Pick(
        Box<Job>,
        u64,
        Vec<(Target, QuoteReply)>,
        Sender<Result<Choice, Refusal>>,
    ),
    /// Asks the retry budget for one more attempt of a request with this many attempts.
    Retry(u32, Sender<Result<(), Refusal>>),
    /// Lists the agents that run beside a plain service.
    Services(ModelId, Sender<Vec<Target>>),
    /// Returns whether this incarnation of an entry may still be alive.
    IsAlive(Holder, Sender<bool>),
    /// Sets the gauge of a catalogue entry's credit that is drawn here and not spent.
    SetCredit(EntryId, Credit),
    /// Registers work that may outlive its request's answer and should end soon after this time.
    BeginWork(MonoTime),
    /// Unregisters work that is done.
    EndWork,
    /// Lists the models and services that a caller may use.
    Names(Option<String>, Sender<Result<Vec<ModelId>, Failure>>),
    /// Looks up the entry that applies when this organisation uses this model or service.
    Lookup(OrgId, ModelId, Sender<Result<(Revision, Entry), Failure>>),
    /// Handles gossip from another process.
    Gossip(Box<Gossip>, Sender<Gossip>),
    /// Handles the reply to this process's gossip.
    GossipReply(Box<Gossip>),
    /// Answers another process's catalogue request.
    Catalogue(Query, Sender<Answer>),
    /// Handles a newer catalogue revision that another process pushed.
    CatalogueOffer(Source, Box<Update>),
    /// Handles the answer to this process's catalogue request.
    CatalogueAnswer(Source, Answer),
    /// Handles the catalogue head that the store reader saw.
    StoreHead(Option<Head>),
    /// Retries unanswered catalogue requests.
    FollowCatalogue,
    /// Handles the platform's list of VMs.
    VmList(Vec<Seed>),
    /// Periodic tick of membership and shutdown.
    Tick,
    /// Starts a graceful shutdown.
    Stop,
    /// Returns the entry's status.
    Status(Sender<EntryStatus>),
    /// Counts an attempt that was given up and retried.
    CountRetry(Reason),
    /// Counts a refused or failed request.
    CountRefusal(Reason),
    /// Records a complete answer with this many tokens.
    RecordServed(Fingerprint, Tokens),
    /// Records a backend server crash during a request; true if nothing else ran there.
    RecordCrash(Fingerprint, Crash, bool),
    /// Records the time to first token of a prompt.
    RecordFirstToken(Tokens, Class, Millis),
    /// Counts a dropped frame of another attempt.
    CountDropped,
    /// Returns whether the entry is ready for callers.
    IsReady(Sender<bool>),
    /// Returns the metrics in text format.
    Metrics(HeldMetrics, Sender<String>),
}
