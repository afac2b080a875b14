//! What the task that owns the entry's shared state is asked.

use flume::Sender;

use crate::catalogue::Entry;
use crate::catalogue::Head;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Ask;
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

/// A caller's wish before it is admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The caller's key, as the header gave it.
    pub key: Option<String>,
    /// The model or service asked for.
    pub name: ModelId,
    /// The prompt's length.
    pub prompt: Tokens,
    /// The longest answer.
    pub output: Tokens,
}

/// What an admitted request may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The organisation that pays.
    pub org: OrgId,
    /// The catalogue entry.
    pub entry: Entry,
    /// The prompt's length.
    pub prompt: Tokens,
    /// The longest answer allowed.
    pub output: Tokens,
    /// What was taken from the limits.
    pub charge: Charge,
    /// The limits it was taken from.
    pub rates: Rates,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this agent.
    Target(Target),
    /// Nowhere yet: it needs this many engines, which must be asked first.
    Split(u64),
}

/// A message to the task; the sender in it takes the answer.
#[derive(Debug)]
pub enum Message {
    /// May this request be served?
    Admit(Admission, Sender<Result<Permit, Failure>>),
    /// A request that was admitted is over; its answer had this many tokens.
    Release(Box<Permit>, Tokens),
    /// Which agents should be asked?
    Candidates(
        Box<Job>,
        u64,
        Vec<NodeId>,
        Sender<Result<Vec<Target>, Refusal>>,
    ),
    /// Which of these estimates is best?
    Pick(
        Box<Job>,
        u64,
        Vec<(Target, QuoteReply)>,
        Sender<Result<Choice, Refusal>>,
    ),
    /// May a request with so many attempts be tried again?
    Retry(u32, Sender<Result<(), Refusal>>),
    /// Which agents stand beside this plain service?
    Services(ModelId, Sender<Vec<Target>>),
    /// Is this life of an entry not known to be over?
    IsAlive(Holder, Sender<bool>),
    /// The catalogue entry has so much credit drawn here and not spent.
    Credit(EntryId, Credit),
    /// Work began that outlives its request's answer; it should be over soon after this time.
    WorkBegun(MonoTime),
    /// Such work is over.
    WorkEnded,
    /// What are the names that this caller may use?
    Names(Option<String>, Sender<Result<Vec<ModelId>, Failure>>),
    /// Under which entry would this organisation use this model or service?
    Lookup(OrgId, ModelId, Sender<Result<(Revision, Entry), Failure>>),
    /// Another process tells news of members.
    Gossip(Box<Gossip>, Sender<Gossip>),
    /// Another process answered to our news.
    Answered(Box<Gossip>),
    /// Another process asks for the catalogue.
    Catalogue(Ask, Sender<Answer>),
    /// Another process passes on a newer revision.
    Offered(Source, Box<Update>),
    /// The store or another process answered our question about the catalogue.
    CatalogueAnswer(Source, Answer),
    /// The reader of the failure domain saw this head in the store.
    StoreHead(Option<Head>),
    /// It is time to look after questions about the catalogue.
    Follow,
    /// The platform lists these VMs.
    VmList(Vec<Seed>),
    /// Time has passed.
    Tick,
    /// The process was asked to stop.
    Stop,
    /// How does the entry stand?
    Status(Sender<EntryStatus>),
    /// An attempt was given up for another.
    Retried(Reason),
    /// A request was refused or failed for this reason.
    Failed(Reason),
    /// An answer with so many tokens came to its end.
    Served(Fingerprint, Tokens),
    /// A backend server died with a request, which ran alone there or not.
    Crashed(Fingerprint, Crash, bool),
    /// A prompt's first token came after this time.
    FirstToken(Tokens, Class, Millis),
    /// A frame of another attempt was dropped.
    Dropped,
    /// Is the entry ready for callers?
    Ready(Sender<bool>),
    /// The metrics as text.
    Metrics(Sender<String>),
}
