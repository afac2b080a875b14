//! The way to ask the task that owns the entry's shared state.

use flume::Sender;

use super::Admission;
use super::Choice;
use super::Permit;
use super::message::Message;
use crate::catalogue::Entry;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Ask;
use crate::catalogue::follow::Source;
use crate::catalogue::follow::Update;
use crate::claims::Holder;
use crate::conviction::Crash;
use crate::entry::EntryStatus;
use crate::entry::Failure;
use crate::entry::Job;
use crate::entry::request::Target;
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

/// When to come back to a process that is stopping.
const RETRY_STOPPING: Millis = Millis(100);

/// Asks the control task; a clone asks the same one.
#[derive(Clone, Debug)]
pub struct Control {
    messages: Sender<Message>,
}

impl Control {
    /// Makes a handle on the task that receives `messages`.
    pub(super) fn new(messages: Sender<Message>) -> Self {
        Self { messages }
    }

    /// Asks whether a request may be served.
    pub async fn admit(&self, admission: Admission) -> Result<Permit, Failure> {
        let reply = query(&self.messages, |tx| Message::Admit(admission, tx)).await;
        reply.unwrap_or_else(|| Err(stopping().into()))
    }

    /// Ends an admitted request whose answer had `output` tokens.
    pub fn release(&self, permit: Permit, output: Tokens) {
        self.tell(Message::Release(Box::new(permit), output));
    }

    /// Asks which agents should be asked for an estimate.
    pub async fn candidates(
        &self,
        job: &Job,
        parts: u64,
        excluded: Vec<NodeId>,
    ) -> Result<Vec<Target>, Refusal> {
        let job = Box::new(job.shape());
        let reply = query(&self.messages, |tx| {
            Message::Candidates(job, parts, excluded, tx)
        })
        .await;
        reply.unwrap_or_else(|| Err(stopping()))
    }

    /// Asks which estimate is best.
    pub async fn pick(
        &self,
        job: &Job,
        parts: u64,
        quotes: Vec<(Target, QuoteReply)>,
    ) -> Result<Choice, Refusal> {
        let job = Box::new(job.shape());
        let reply = query(&self.messages, |tx| Message::Pick(job, parts, quotes, tx)).await;
        reply.unwrap_or_else(|| Err(stopping()))
    }

    /// Asks the retry budget for one more attempt of a request that has made `attempts`.
    pub async fn retry(&self, attempts: u32) -> Result<(), Refusal> {
        let reply = query(&self.messages, |tx| Message::Retry(attempts, tx)).await;
        reply.unwrap_or_else(|| Err(stopping()))
    }

    /// Asks which agents stand beside a plain service.
    pub async fn services(&self, name: ModelId) -> Vec<Target> {
        let reply = query(&self.messages, |tx| Message::Services(name, tx)).await;
        reply.unwrap_or_default()
    }

    /// Asks whether a holder of a claim may still live.
    pub async fn is_alive(&self, holder: Holder) -> bool {
        let reply = query(&self.messages, |tx| Message::IsAlive(holder, tx)).await;
        reply.unwrap_or(true)
    }

    /// Notes the credit that is drawn and not spent.
    pub fn credit(&self, entry: EntryId, credit: Credit) {
        self.tell(Message::Credit(entry, credit));
    }

    /// Notes work that a stop must wait for.
    pub fn work_begun(&self, deadline: MonoTime) {
        self.tell(Message::WorkBegun(deadline));
    }

    /// Notes that such work is over.
    pub fn work_ended(&self) {
        self.tell(Message::WorkEnded);
    }

    /// Asks which names a caller may use.
    pub async fn names(&self, key: Option<String>) -> Result<Vec<ModelId>, Failure> {
        let reply = query(&self.messages, |tx| Message::Names(key, tx)).await;
        reply.unwrap_or_else(|| Err(stopping().into()))
    }

    /// Asks under which entry, of which revision, `org` would use `name`.
    pub async fn lookup(&self, org: OrgId, name: ModelId) -> Result<(Revision, Entry), Failure> {
        let reply = query(&self.messages, |tx| Message::Lookup(org, name, tx)).await;
        reply.unwrap_or_else(|| Err(stopping().into()))
    }

    /// Notes how a request failed.
    pub fn failed(&self, job: &Job, failure: &Failure) {
        crate::event!(
            info,
            "request_failed",
            request = job.request,
            reason = failure.reason,
            ran = failure.ran,
        );
        self.refused(failure.reason);
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: Reason) {
        self.tell(Message::Failed(reason));
    }

    /// Counts a whole answer.
    pub fn served(&self, job: &Job, tokens: Tokens) {
        crate::event!(
            info,
            "request_served",
            request = job.request,
            org = job.org,
            entry = job.entry,
            prompt = job.prompt,
            output = tokens,
        );
        self.tell(Message::Served(job.print, tokens));
    }

    /// Notes that a backend server died with the request, which ran `alone` there or not.
    pub fn crashed(&self, job: &Job, crash: Crash, alone: bool) {
        crate::event!(
            warn,
            "backend_crashed",
            request = job.request,
            print = job.print,
            node = crash.node,
            number = crash.number,
            alone = alone,
        );
        self.tell(Message::Crashed(job.print, crash, alone));
    }

    /// Notes the time to an answer's first token.
    pub fn first_token(&self, job: &Job, span: Millis) {
        self.tell(Message::FirstToken(job.prompt, job.class, span));
    }

    /// Counts a frame of another attempt.
    pub fn dropped(&self) {
        self.tell(Message::Dropped);
    }

    /// Counts an attempt that was given up for another.
    pub fn retried(&self, reason: Reason) {
        self.tell(Message::Retried(reason));
    }

    /// Asks how the entry stands.
    pub async fn status(&self) -> Option<EntryStatus> {
        query(&self.messages, Message::Status).await
    }

    /// Takes news of members and answers with ours; `None` when the process is stopping.
    pub async fn gossip(&self, news: Gossip) -> Option<Gossip> {
        query(&self.messages, |tx| Message::Gossip(Box::new(news), tx)).await
    }

    /// Answers another process's question about the catalogue.
    pub async fn catalogue(&self, ask: Ask) -> Answer {
        let answer = query(&self.messages, |tx| Message::Catalogue(ask, tx)).await;
        answer.unwrap_or(Answer::Silence)
    }

    /// Hands in a newer revision of the catalogue.
    pub fn offer(&self, source: Source, update: Update) {
        self.tell(Message::Offered(source, Box::new(update)));
    }

    /// Asks whether the entry is ready for callers.
    pub async fn ready(&self) -> bool {
        query(&self.messages, Message::Ready).await.unwrap_or(false)
    }

    /// Asks for the metrics as text.
    pub async fn metrics(&self) -> String {
        query(&self.messages, Message::Metrics)
            .await
            .unwrap_or_default()
    }

    fn tell(&self, message: Message) {
        let _ = self.messages.send(message);
    }
}

fn stopping() -> Refusal {
    Refusal {
        reason: Reason::Stopping,
        retry: RETRY_STOPPING,
    }
}
