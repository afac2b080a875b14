//! Which backend servers asked for no requests, in responses to this entry or to its peers.

use std::collections::BTreeMap;

use super::Notice;
use super::PeerNotice;
use super::Server;
use super::ServerId;
use super::limits::LEAVING_MEMORY;
use super::limits::MAX_PAUSE;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;

/// An incarnation that is leaving, and when that was last heard.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    started: Option<Incarnation>,
    heard: MonoTime,
}

/// The announcements of backend servers that are in force.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    leaving: BTreeMap<ServerId, Leaving>,
    /// Until when nothing is sent to a server.
    paused: BTreeMap<ServerId, MonoTime>,
    /// Until when a server accepts nothing from a peer.
    strained: BTreeMap<ServerId, MonoTime>,
}

impl Notices {
    /// Records an announcement to this entry; returns whether it was news.
    pub fn record(&mut self, now: MonoTime, server: &Server, notice: Notice) -> bool {
        let is_leaving = notice.leaving && self.mark_leaving(now, &server.id, server.started);
        let Some(pause) = notice.pause.filter(|pause| *pause > Millis::ZERO) else {
            return is_leaving;
        };
        let until = now.after(pause.min(MAX_PAUSE));
        let known = self.paused.entry(server.id.clone()).or_default();
        let is_longer = until > *known;
        *known = until.max(*known);
        is_leaving || is_longer
    }

    /// Merges an announcement to a peer. A pause asked of a peer does not bind this entry.
    pub fn merge(&mut self, now: MonoTime, peer: &PeerNotice) {
        if peer.notice.leaving {
            self.mark_leaving(now, &peer.server, peer.started);
        }
        if let Some(pause) = peer.notice.pause {
            let until = now.after(pause.min(MAX_PAUSE));
            let known = self.strained.entry(peer.server.clone()).or_default();
            *known = until.max(*known);
        }
    }

    /// Whether this incarnation has announced that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, server: &Server) -> bool {
        let known = self.leaving.get(&server.id);
        known.is_some_and(|leaving| leaving.started == server.started)
    }

    /// The time for which nothing may be sent to a server; zero if it may.
    #[must_use]
    pub fn pause(&self, now: MonoTime, server: &ServerId) -> Millis {
        let until = self.paused.get(server).copied().unwrap_or_default();
        now.until(until)
    }

    /// Whether a server has asked a peer for no requests.
    #[must_use]
    pub fn is_strained(&self, now: MonoTime, server: &ServerId) -> bool {
        self.strained.get(server).is_some_and(|until| now < *until)
    }

    /// Whether a new request may be sent to a server.
    #[must_use]
    pub fn allow(&self, now: MonoTime, server: &Server) -> bool {
        !self.is_leaving(server) && self.pause(now, &server.id) == Millis::ZERO
    }

    /// The announcements to this entry and the leaving servers, for peers.
    #[must_use]
    pub fn to_peers(&self, now: MonoTime) -> Vec<PeerNotice> {
        let leaving = self.leaving.iter().map(|(server, leaving)| PeerNotice {
            server: server.clone(),
            started: leaving.started,
            notice: Notice {
                leaving: true,
                pause: None,
            },
        });
        let is_paused = |(_, until): &(&ServerId, &MonoTime)| now < **until;
        let paused = self.paused.iter().filter(is_paused);
        let paused = paused.map(|(server, until)| PeerNotice {
            server: server.clone(),
            started: None,
            notice: Notice {
                leaving: false,
                pause: Some(now.until(*until)),
            },
        });
        leaving.chain(paused).collect()
    }

    /// Drops what no longer matters; `is_listed` tells whether an incarnation is listed.
    pub fn expire(
        &mut self,
        now: MonoTime,
        is_listed: impl Fn(&ServerId, Option<Incarnation>) -> bool,
    ) {
        self.leaving.retain(|server, leaving| {
            is_listed(server, leaving.started) || now.since(leaving.heard) < LEAVING_MEMORY
        });
        self.paused.retain(|_, until| now < *until);
        self.strained.retain(|_, until| now < *until);
    }

    fn mark_leaving(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        started: Option<Incarnation>,
    ) -> bool {
        let known = self.leaving.get(server);
        if known.is_some_and(|known| known.started > started) {
            return false;
        }
        let is_news = known.is_none_or(|known| known.started != started);
        let heard = known.filter(|_| !is_news).map_or(now, |known| known.heard);
        self.leaving
            .insert(server.clone(), Leaving { started, heard });
        is_news
    }
}
