//! The catalogue in the platform's store.

use futures::future::join_all;

use super::ContentHash;
use super::Head;
use super::follow::Answer;
use super::follow::Ask;
use super::layout;
use crate::store::Client;
use crate::store::Entry;
use crate::store::Op;
use crate::store::Outcome;

/// Reads the catalogue from the store; clones share the client.
#[derive(Clone, Debug)]
pub struct Remote {
    client: Client,
}

impl Remote {
    /// Uses `client`.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// The head that a key of the store holds; `None` if it is none.
    #[must_use]
    pub fn head_of(entry: &Entry) -> Option<Head> {
        Head::decode(std::str::from_utf8(&entry.value).ok()?)
    }

    /// Answers a follower's question; one call for a head, one for each text.
    pub async fn answer(&self, ask: &Ask) -> Answer {
        match ask {
            Ask::Head => match self.client.call(&Op::Get(layout::head_key())).await {
                Outcome::Found(entry) => Answer::Head(entry.as_ref().and_then(Self::head_of)),
                _ => Answer::Silence,
            },
            Ask::Texts(hashes) => {
                let texts = join_all(hashes.iter().map(|hash| self.text(*hash))).await;
                Answer::Texts(texts.into_iter().flatten().collect())
            }
        }
    }

    async fn text(&self, hash: ContentHash) -> Option<String> {
        let Outcome::Found(Some(entry)) = self.client.call(&Op::Get(layout::text_key(hash))).await
        else {
            return None;
        };
        String::from_utf8(entry.value).ok()
    }
}
