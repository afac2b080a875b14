//! Access to the catalogue in the platform's store.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Error;
use super::Result;
use crate::catalogue::Catalogue;
use crate::catalogue::CatalogueStore;
use crate::catalogue::ContentHash;
use crate::catalogue::Head;
use crate::catalogue::Page;
use crate::catalogue::Part;
use crate::catalogue::publish::PublishOutcome;
use crate::catalogue::publish::Publisher;
use crate::store::Client;
use crate::store::Entry;
use crate::store::Key;
use crate::store::Op;
use crate::store::Outcome;
use crate::types::Millis;
use crate::types::Revision;

/// How long to wait for one answer.
const CALL_TIMEOUT: Millis = Millis(3_000);
/// How many times a read is attempted.
const READ_ATTEMPTS: usize = 3;
/// The delay before a read is retried, so that a store at its rate limit can recover.
const RETRY_DELAY: Millis = Millis(200);

/// Pages and parts that are already known and need not be read.
pub type TextCache = HashMap<ContentHash, Arc<str>>;

/// A client for the catalogue in the platform's store.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client,
    addr: SocketAddr,
}

impl PlatformClient {
    /// Creates a client for the store at `addr`.
    ///
    /// # Errors
    /// The client cannot be created.
    pub fn new(addr: SocketAddr) -> Result<Self> {
        let client = Client::new(addr, CALL_TIMEOUT)?;
        Ok(Self { client, addr })
    }

    /// Publishes a change.
    pub async fn publish(&self, publisher: Publisher) -> PublishOutcome {
        CatalogueStore::new(self.client.clone())
            .publish(publisher)
            .await
    }

    /// The error for a store that does not answer.
    #[must_use]
    pub const fn no_answer_error(&self) -> Error {
        Error::PlatformDown(self.addr)
    }

    /// Reads the head in force, if there is one.
    ///
    /// # Errors
    /// The store does not answer, or the stored head cannot be parsed.
    pub async fn head(&self) -> Result<Option<Head>> {
        let Some(entry) = self.read(CatalogueStore::head_key()).await? else {
            return Ok(None);
        };
        CatalogueStore::head_of(&entry)
            .ok_or(Error::BadHead)
            .map(Some)
    }

    /// Reads the head of `revision`, in force or replaced; `None` if the store has none.
    ///
    /// # Errors
    /// The store does not answer, or the stored head cannot be parsed.
    pub async fn head_at(&self, revision: Revision) -> Result<Option<Head>> {
        match self.head().await? {
            Some(head) if head.revision == revision => Ok(Some(head)),
            _ => self.past_head(revision).await,
        }
    }

    /// Reads the head of the replaced `revision`.
    ///
    /// # Errors
    /// The store does not answer, or the stored head cannot be parsed.
    pub async fn past_head(&self, revision: Revision) -> Result<Option<Head>> {
        match self.read(CatalogueStore::history_key(revision)).await? {
            None => Ok(None),
            Some(entry) => CatalogueStore::head_of(&entry)
                .ok_or(Error::BadHead)
                .map(Some),
        }
    }

    /// Reads the whole catalogue of a head, except for texts in `cache`.
    ///
    /// # Errors
    /// The store does not answer, or the catalogue is damaged.
    pub async fn catalogue(&self, head: &Head, cache: &mut TextCache) -> Result<Catalogue> {
        let mut parts = Vec::new();
        for hash in self.part_hashes(head, cache).await? {
            let text = self.text(hash, cache).await?;
            let part = Part::decode(&text).ok_or(Error::BadText(hash))?;
            parts.push(Arc::new(part));
        }
        Ok(Catalogue::from_parts(head.revision, parts)?)
    }

    /// Returns the hashes of all pages and parts of a head, which need not be written again.
    ///
    /// # Errors
    /// The store does not answer, or a page is damaged.
    pub async fn stored_hashes(
        &self,
        head: &Head,
        cache: &mut TextCache,
    ) -> Result<HashSet<ContentHash>> {
        let parts = self.part_hashes(head, cache).await?;
        Ok(parts
            .into_iter()
            .chain(head.pages.values().copied())
            .collect())
    }

    async fn part_hashes(&self, head: &Head, cache: &mut TextCache) -> Result<Vec<ContentHash>> {
        let mut hashes = Vec::new();
        for hash in head.pages.values() {
            let text = self.text(*hash, cache).await?;
            let page = Page::decode(&text).ok_or(Error::BadText(*hash))?;
            hashes.extend(page.parts.into_values());
        }
        Ok(hashes)
    }

    async fn text(&self, hash: ContentHash, cache: &mut TextCache) -> Result<Arc<str>> {
        if let Some(text) = cache.get(&hash) {
            return Ok(Arc::clone(text));
        }
        let entry = self.read(CatalogueStore::text_key(hash)).await?;
        let bytes = entry.map(|entry| entry.value).unwrap_or_default();
        let text = String::from_utf8(bytes).map_err(|_| Error::BadText(hash))?;
        if ContentHash::of(&text) != hash {
            return Err(Error::BadText(hash));
        }
        let text: Arc<str> = text.into();
        cache.insert(hash, Arc::clone(&text));
        Ok(text)
    }

    async fn read(&self, key: Key) -> Result<Option<Entry>> {
        let op = Op::Get(key);
        for attempt in 0..READ_ATTEMPTS {
            if attempt > 0 {
                compio::time::sleep(RETRY_DELAY.duration()).await;
            }
            if let Outcome::Found(entry) = self.client.call(&op).await {
                return Ok(entry);
            }
        }
        Err(self.no_answer_error())
    }
}
