//! The handle by which other tasks call the control task.

use flume::Sender;

use super::Admission;
use super::Choice;
use super::Permit;
use super::message::Message;
use crate::catalogue::Entry;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Query;
use crate::catalogue::follow::Source;
use crate::catalogue::follow::Update;
use crate::claims::Holder;
use crate::conviction::Crash;
use crate::entry::EntryStatus;
use crate::entry::Failure;
use crate::entry::Job;
use crate::entry::request::Target;
use crate::metrics::HeldMetrics;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::message::Gossip;
use crate::rpc::message::QuoteReply;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::OrgId;
use crate::types::Revision;
use crate::types::Tokens;
use crate::util::query;

/// Retry delay for callers of a process that is stopping.
const STOPPING_DELAY: Millis = Millis(100);

/// A handle on the control task; clones share the same task.
#[derive(Clone, Debug)]
pub struct Control {
    messages: Sender<Message>,
}

impl Control {
    /// Creates a handle on the task that receives `messages`.
    pub(super) fn new(messages: Sender<Message>) -> Self {
        Self { messages }
    }

    /// Asks for admission of a request.
    pub async fn admit(&self, admission: Admission) -> Result<Permit, Failure> {
        let reply = query(&self.messages, |tx| Message::Admit(admission, tx)).await;
        reply.unwrap_or_else(|| Err(stopping().into()))
    }

    /// Ends an admitted request whose answer had `output` tokens.
    pub fn release(&self, permit: Permit, output: Tokens) {
        self.send(Message::Release(Box::new(permit), output));
    }

    /// Returns the agents to ask for an estimate.
    pub async fn candidates(
        &self,
        job: &Job,
        parts: u64,
        excluded: Vec<NodeId>,
    ) -> Result<Vec<Target>, Refusal> {
        let job = Box::new(job.without_text());
        let reply = query(&self.messages, |tx| {
            Message::Candidates(job, parts, excluded, tx)
        })
        .await;
        reply.unwrap_or_else(|| Err(stopping()))
    }

    /// Picks the agent with the best estimate.
    pub async fn pick(
        &self,
        job: &Job,
        parts: u64,
        quotes: Vec<(Target, QuoteReply)>,
    ) -> Result<Choice, Refusal> {
        let job = Box::new(job.without_text());
        let reply = query(&self.messages, |tx| Message::Pick(job, parts, quotes, tx)).await;
        reply.unwrap_or_else(|| Err(stopping()))
    }

    /// Asks the retry budget for one more attempt of a request that has made `attempts`.
    pub async fn retry(&self, attempts: u32) -> Result<(), Refusal> {
        let reply = query(&self.messages, |tx| Message::Retry(attempts, tx)).await;
        reply.unwrap_or_else(|| Err(stopping()))
    }

    /// Returns the agents that run beside a plain service.
    pub async fn services(&self, name: ModelId) -> Vec<Target> {
        let reply = query(&self.messages, |tx| Message::Services(name, tx)).await;
        reply.unwrap_or_default()
    }

    /// Returns whether the holder of a claim may still be alive.
    pub async fn is_alive(&self, holder: Holder) -> bool {
        let reply = query(&self.messages, |tx| Message::IsAlive(holder, tx)).await;
        reply.unwrap_or(true)
    }

    /// Sets the gauge of an entry's credit that is drawn and not spent.
    pub fn set_credit(&self, entry: EntryId, credit: Credit) {
        self.send(Message::SetCredit(entry, credit));
    }

    /// Registers work that a graceful shutdown waits for.
    pub fn begin_work(&self, deadline: MonoTime) {
        self.send(Message::BeginWork(deadline));
    }

    /// Unregisters work that is done.
    pub fn end_work(&self) {
        self.send(Message::EndWork);
    }

    /// Returns the models and services that a caller may use.
    pub async fn names(&self, key: Option<String>) -> Result<Vec<ModelId>, Failure> {
        let reply = query(&self.messages, |tx| Message::Names(key, tx)).await;
        reply.unwrap_or_else(|| Err(stopping().into()))
    }

    /// Looks up the catalogue entry, and its revision, that applies when `org` uses `name`.
    pub async fn lookup(&self, org: OrgId, name: ModelId) -> Result<(Revision, Entry), Failure> {
        let reply = query(&self.messages, |tx| Message::Lookup(org, name, tx)).await;
        reply.unwrap_or_else(|| Err(stopping().into()))
    }

    /// Logs and counts a failed request.
    pub fn record_failure(&self, job: &Job, failure: &Failure) {
        crate::event!(
            info,
            "request_failed",
            request = job.request,
            reason = failure.reason,
            ran = failure.ran,
        );
        self.count_refusal(failure.reason);
    }

    /// Counts a refused or failed request.
    pub fn count_refusal(&self, reason: Reason) {
        self.send(Message::CountRefusal(reason));
    }

    /// Logs and counts a complete answer.
    pub fn record_served(&self, job: &Job, tokens: Tokens) {
        crate::event!(
            info,
            "request_served",
            request = job.request,
            org = job.org,
            entry = job.entry,
            prompt = job.prompt,
            output = tokens,
        );
        self.send(Message::RecordServed(job.fingerprint, tokens));
    }

    /// Records a backend server crash during the request; `alone` if nothing else ran there.
    pub fn record_crash(&self, job: &Job, crash: Crash, alone: bool) {
        crate::event!(
            warn,
            "backend_crashed",
            request = job.request,
            print = job.fingerprint,
            node = crash.node,
            number = crash.number,
            alone = alone,
        );
        self.send(Message::RecordCrash(job.fingerprint, crash, alone));
    }

    /// Records the time to first token.
    pub fn record_first_token(&self, job: &Job, span: Millis) {
        self.send(Message::RecordFirstToken(job.prompt, job.class, span));
    }

    /// Counts a frame that belonged to another attempt.
    pub fn count_dropped(&self) {
        self.send(Message::CountDropped);
    }

    /// Counts an attempt that was given up and retried.
    pub fn count_retry(&self, reason: Reason) {
        self.send(Message::CountRetry(reason));
    }

    /// Returns the entry's status; `None` when the process is stopping.
    pub async fn status(&self) -> Option<EntryStatus> {
        query(&self.messages, Message::Status).await
    }

    /// Handles gossip and returns the reply; `None` when the process is stopping.
    pub async fn gossip(&self, gossip: Gossip) -> Option<Gossip> {
        query(&self.messages, |tx| Message::Gossip(Box::new(gossip), tx)).await
    }

    /// Answers another process's catalogue request.
    pub async fn catalogue(&self, request: Query) -> Answer {
        let answer = query(&self.messages, |tx| Message::Catalogue(request, tx)).await;
        answer.unwrap_or(Answer::Silence)
    }

    /// Handles a newer revision of the catalogue that was pushed by `source`.
    pub fn offer(&self, source: Source, update: Update) {
        self.send(Message::CatalogueOffer(source, Box::new(update)));
    }

    /// Returns whether the entry is ready for callers.
    pub async fn is_ready(&self) -> bool {
        query(&self.messages, Message::IsReady)
            .await
            .unwrap_or(false)
    }

    /// Returns the metrics in text format.
    pub async fn metrics(&self, held: HeldMetrics) -> String {
        query(&self.messages, |reply| Message::Metrics(held, reply))
            .await
            .unwrap_or_default()
    }

    fn send(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

fn stopping() -> Refusal {
    Refusal {
        reason: Reason::Stopping,
        retry: STOPPING_DELAY,
    }
}
