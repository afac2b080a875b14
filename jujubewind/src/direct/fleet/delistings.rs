//! Which backend servers left the store's list, as seen by this entry or told by its peers.

use std::collections::BTreeMap;

use super::Delisting;
use super::Server;
use super::ServerId;
use super::limits::LEAVING_MEMORY;
use super::limits::TELLING_SPAN;
use super::limits::TOLD_MEMORY;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;

/// An incarnation that left the list.
#[derive(Clone, Copy, Debug)]
struct Delisted {
    started: Option<Incarnation>,
    delisting: Delisting,
    /// When it was seen, or last told.
    at: MonoTime,
}

/// The latest delistings.
///
/// This answers the loss of the store by some of the entries: those that still read it tell the
/// others who leaves.
#[derive(Clone, Debug, Default)]
pub struct Delistings {
    seen: BTreeMap<ServerId, Delisted>,
    told: BTreeMap<ServerId, Delisted>,
}

impl Delistings {
    /// Records what this entry has read itself; returns whether it was news.
    pub fn record(&mut self, now: MonoTime, server: &Server, delisting: Delisting) -> bool {
        let started = server.started;
        let is_known = |known: &Delisted| known.started == started && known.delisting == delisting;
        if self.seen.get(&server.id).is_some_and(is_known) {
            return false;
        }
        let at = now;
        let delisted = Delisted {
            started,
            delisting,
            at,
        };
        self.seen.insert(server.id.clone(), delisted);
        true
    }

    /// Records that a server is listed as ready.
    pub fn clear(&mut self, server: &ServerId) {
        self.seen.remove(server);
    }

    /// Merges what a peer has read; returns whether it was news.
    pub fn merge(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        started: Option<Incarnation>,
        delisting: Delisting,
    ) -> bool {
        let known = self.told.get(server);
        if known.is_some_and(|known| known.started > started) {
            return false;
        }
        let is_news = known.is_none_or(|known| known.started != started);
        let is_draining = known.is_some_and(|known| {
            known.started == started && known.delisting == Delisting::Draining
        });
        let delisting = if is_draining {
            Delisting::Draining
        } else {
            delisting
        };
        let at = now;
        let delisted = Delisted {
            started,
            delisting,
            at,
        };
        self.told.insert(server.clone(), delisted);
        is_news
    }

    /// Whether this incarnation, or a later one, has left the list.
    #[must_use]
    pub fn include(&self, now: MonoTime, server: &Server) -> bool {
        let has_ended = |delisted: &&Delisted| server.is_up_to(delisted.started);
        let told = self.told.get(&server.id).filter(has_ended);
        let seen = self.seen.get(&server.id).filter(has_ended);
        seen.is_some() || told.is_some_and(|told| now.since(told.at) < told.memory())
    }

    /// What this entry has read lately, for peers.
    pub fn to_peers(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&ServerId, Option<Incarnation>, Delisting)> {
        let is_recent = move |delisted: &Delisted| now.since(delisted.at) < TELLING_SPAN;
        let seen = self.seen.iter();
        let recent = seen.filter(move |(_, delisted)| is_recent(delisted));
        recent.map(|(server, delisted)| (server, delisted.started, delisted.delisting))
    }

    /// Drops what no longer matters. While this entry cannot read the store, it relies on what it
    /// was told.
    pub fn expire(&mut self, now: MonoTime, can_read: bool) {
        self.seen
            .retain(|_, delisted| now.since(delisted.at) < LEAVING_MEMORY);
        if !can_read {
            for told in self.told.values_mut() {
                told.at = now;
            }
        }
        self.told
            .retain(|_, told| now.since(told.at) < told.memory());
    }
}

impl Delisted {
    /// How long it counts after a peer told it for the last time.
    fn memory(&self) -> Millis {
        match self.delisting {
            Delisting::Draining if self.started.is_some() => LEAVING_MEMORY,
            _ => TOLD_MEMORY,
        }
    }
}
