//! Access to the catalogue in the platform's store.

use futures::future::join_all;

use super::ContentHash;
use super::Head;
use super::follow::Answer;
use super::follow::Query;
use super::publish::HeadVersion;
use super::publish::Output;
use super::publish::PublishOutcome;
use super::publish::Publisher;
use super::publish::Reply;
use super::publish::Request;
use crate::store::Cause;
use crate::store::Client;
use crate::store::Entry;
use crate::store::Key;
use crate::store::Op;
use crate::store::Outcome;
use crate::store::Version;
use crate::store::Write;
use crate::types::Millis;
use crate::types::Revision;

/// Delay before a failed call is retried.
const RETRY_DELAY: Millis = Millis(200);

/// Maximum number of retries of a rate-limited write; a large initial catalogue needs many.
const MAX_RATE_LIMIT_RETRIES: usize = 25;

/// Reads the catalogue from the store and publishes changes; clones share the client.
#[derive(Clone, Debug)]
pub struct CatalogueStore {
    client: Client,
}

impl CatalogueStore {
    /// Creates an instance that uses `client`.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// The key of the head.
    #[must_use]
    pub fn head_key() -> Key {
        Key::new("catalogue", "head")
    }

    /// The key of a page or part.
    #[must_use]
    pub fn text_key(hash: ContentHash) -> Key {
        Key::new("catalogue/texts", &hash.to_string())
    }

    /// The key of the archived head of `revision`.
    #[must_use]
    pub fn history_key(revision: Revision) -> Key {
        Key::new("catalogue/history", &revision.get().to_string())
    }

    /// Decodes the head in a store entry; `None` if the value is invalid.
    #[must_use]
    pub fn head_of(entry: &Entry) -> Option<Head> {
        Head::decode(std::str::from_utf8(&entry.value).ok()?)
    }

    /// Answers a follower's query with one call for a head or one call per text.
    pub async fn answer(&self, query: &Query) -> Answer {
        match query {
            Query::Head => match self.client.call(&Op::Get(Self::head_key())).await {
                Outcome::Found(entry) => Answer::Head(entry.as_ref().and_then(Self::head_of)),
                _ => Answer::Silence,
            },
            Query::Texts(hashes) => {
                let texts = join_all(hashes.iter().map(|hash| self.text(*hash))).await;
                Answer::Texts(texts.into_iter().flatten().collect())
            }
        }
    }

    /// Makes the publisher's calls until publishing ends.
    pub async fn publish(&self, mut publisher: Publisher) -> PublishOutcome {
        let mut output = publisher.begin();
        loop {
            let request = match output {
                Output::Done(verdict) => return verdict,
                Output::Call(request) => request,
            };
            let reply = self.call(request).await;
            if matches!(reply, Reply::Failed | Reply::Unknown) {
                compio::time::sleep(RETRY_DELAY.duration()).await;
            }
            output = publisher.handle(reply);
        }
    }

    /// Makes one store call of a publisher.
    pub async fn call(&self, request: Request) -> Reply {
        match request {
            Request::ReadHead => self.read_head().await,
            Request::ReadHistory(revision) => self.read_history(revision).await,
            Request::WriteText(hash, text) => self.put(Self::text_key(hash), &text).await,
            Request::WriteHistory(head) => {
                self.put(Self::history_key(head.revision), &head.encode())
                    .await
            }
            Request::SwapHead(HeadVersion(expect), head) => {
                let write = Write {
                    key: Self::head_key(),
                    expect: Version(expect),
                    value: Some(head.encode().into_bytes()),
                    lease: None,
                };
                write_reply(&self.write(&Op::CompareAndSwap(write)).await)
            }
        }
    }

    async fn read_head(&self) -> Reply {
        match self.client.call(&Op::Get(Self::head_key())).await {
            Outcome::Found(None) => Reply::Head(None),
            Outcome::Found(Some(entry)) => match Self::head_of(&entry) {
                Some(head) => Reply::Head(Some((HeadVersion(entry.version.get()), head))),
                None => Reply::Failed,
            },
            _ => Reply::Failed,
        }
    }

    async fn read_history(&self, revision: Revision) -> Reply {
        match self
            .client
            .call(&Op::Get(Self::history_key(revision)))
            .await
        {
            Outcome::Found(entry) => Reply::History(entry.as_ref().and_then(Self::head_of)),
            _ => Reply::Failed,
        }
    }

    async fn put(&self, key: Key, text: &str) -> Reply {
        let op = Op::Put {
            key,
            value: text.as_bytes().to_vec(),
            lease: None,
        };
        write_reply(&self.write(&op).await)
    }

    /// Makes a write and retries while it is rate-limited; a rate-limited write has no effect.
    async fn write(&self, op: &Op) -> Outcome {
        let mut outcome = self.client.call(op).await;
        for _ in 0..MAX_RATE_LIMIT_RETRIES {
            if outcome != Outcome::NotApplied(Cause::RateLimited) {
                break;
            }
            compio::time::sleep(RETRY_DELAY.duration()).await;
            outcome = self.client.call(op).await;
        }
        outcome
    }

    async fn text(&self, hash: ContentHash) -> Option<String> {
        let Outcome::Found(Some(entry)) = self.client.call(&Op::Get(Self::text_key(hash))).await
        else {
            return None;
        };
        String::from_utf8(entry.value).ok()
    }
}

fn write_reply(outcome: &Outcome) -> Reply {
    match outcome {
        Outcome::Applied(_) => Reply::Written,
        Outcome::Conflict(_) => Reply::Changed,
        Outcome::NotApplied(_) => Reply::Failed,
        _ => Reply::Unknown,
    }
}
