//! Which backend servers take no requests or few, by what they announced to this entry or to its
//! peers, or as they left the list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Delisting;
use super::Delistings;
use super::Notice;
use super::PeerNotice;
use super::Server;
use super::ServerId;
use super::ServerLimits;
use super::limits::LEAVING_MEMORY;
use super::limits::MAX_PAUSE;
use crate::pace::NamedLimit;
use crate::types::DomainId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::RequestRate;

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
    delistings: Delistings,
    limits: ServerLimits,
    /// Failure domains whose servers the operators want to get nothing new.
    evacuated: BTreeSet<DomainId>,
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

    /// Records what a response named as the server's limit; `sent` is when its request was sent, if
    /// the response is surely to that one. Returns whether the limit in force changed.
    pub fn record_limit(
        &mut self,
        now: MonoTime,
        server: &Server,
        limit: NamedLimit,
        sent: Option<MonoTime>,
    ) -> bool {
        match (limit, sent) {
            (NamedLimit::Rate(rate), _) => self.limits.record_named(now, server, rate),
            (NamedLimit::Absent, Some(sent)) => self.limits.record_unlimited(now, server, sent),
            (NamedLimit::Absent | NamedLimit::Unreadable, _) => false,
        }
    }

    /// Merges the limit that a peer was told; returns whether the limit in force changed.
    pub fn merge_limit(&mut self, now: MonoTime, peer: &PeerNotice) -> bool {
        let (server, started) = (&peer.server, peer.started);
        peer.limit
            .is_some_and(|told| self.limits.merge(now, server, started, told))
    }

    /// The requests a second that a server takes from all entries together; `None` without a limit.
    #[must_use]
    pub fn limit(&self, server: &Server) -> Option<RequestRate> {
        self.limits.rate(server)
    }

    /// The servers with a limit in force.
    pub fn limited(&self) -> impl Iterator<Item = &ServerId> {
        self.limits.limited()
    }

    /// Records that a server left the list; returns whether it was news.
    pub fn record_delisting(
        &mut self,
        now: MonoTime,
        server: &Server,
        delisting: Delisting,
    ) -> bool {
        self.delistings.record(now, server, delisting)
    }

    /// Records that a server is listed as ready.
    pub fn record_listing(&mut self, server: &ServerId) {
        self.delistings.clear(server);
    }

    /// Merges what a peer knows; returns whether it tells of a delisting for the first time. A pause
    /// asked of a peer does not bind this entry.
    pub fn merge(&mut self, now: MonoTime, peer: &PeerNotice) -> bool {
        if peer.notice.leaving {
            self.mark_leaving(now, &peer.server, peer.started);
        }
        if let Some(pause) = peer.notice.pause {
            let until = now.after(pause.min(MAX_PAUSE));
            let known = self.strained.entry(peer.server.clone()).or_default();
            *known = until.max(*known);
        }
        let (server, started) = (&peer.server, peer.started);
        peer.delisting
            .is_some_and(|delisting| self.delistings.merge(now, server, started, delisting))
    }

    /// Whether this incarnation, or a later one, has announced that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, server: &Server) -> bool {
        let known = self.leaving.get(&server.id);
        known.is_some_and(|leaving| server.is_up_to(leaving.started))
    }

    /// Whether this incarnation, or a later one, has announced that it is leaving, or left the list.
    #[must_use]
    pub fn has_left(&self, now: MonoTime, server: &Server) -> bool {
        self.is_leaving(server) || self.delistings.include(now, server)
    }

    /// Records that a failure domain is evacuated; returns whether it was news.
    pub fn evacuate(&mut self, domain: DomainId) -> bool {
        self.evacuated.insert(domain)
    }

    /// Records that the evacuation of a failure domain has ended; returns whether it was news.
    pub fn end_evacuation(&mut self, domain: &DomainId) -> bool {
        self.evacuated.remove(domain)
    }

    /// The evacuated failure domains.
    #[must_use]
    pub const fn evacuated(&self) -> &BTreeSet<DomainId> {
        &self.evacuated
    }

    /// Whether the failure domain of a server is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, server: &Server) -> bool {
        self.evacuated.contains(&server.domain)
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
        !self.has_left(now, server)
            && !self.is_evacuated(server)
            && self.pause(now, &server.id) == Millis::ZERO
    }

    /// The announcements to this entry, the leaving servers, the latest delistings and the limits, for
    /// peers.
    #[must_use]
    pub fn to_peers(&self, now: MonoTime) -> Vec<PeerNotice> {
        let leaving = self.leaving.iter().map(|(server, leaving)| PeerNotice {
            server: server.clone(),
            started: leaving.started,
            notice: Notice {
                leaving: true,
                ..Notice::default()
            },
            delisting: None,
            limit: None,
        });
        let is_paused = |(_, until): &(&ServerId, &MonoTime)| now < **until;
        let paused = self.paused.iter().filter(is_paused);
        let paused = paused.map(|(server, until)| PeerNotice {
            server: server.clone(),
            started: None,
            notice: Notice {
                pause: Some(now.until(*until)),
                ..Notice::default()
            },
            delisting: None,
            limit: None,
        });
        let delisted = self.delistings.to_peers(now);
        let delisted = delisted.map(|(server, started, delisting)| PeerNotice {
            server: server.clone(),
            started,
            notice: Notice::default(),
            delisting: Some(delisting),
            limit: None,
        });
        let limited = self.limits.to_peers(now);
        let limited = limited.map(|(server, started, limit)| PeerNotice {
            server: server.clone(),
            started,
            notice: Notice::default(),
            delisting: None,
            limit: Some(limit),
        });
        leaving
            .chain(paused)
            .chain(delisted)
            .chain(limited)
            .collect()
    }

    /// Drops what no longer matters; `is_listed` tells whether an incarnation is listed. Returns the
    /// servers whose limit no longer holds.
    pub fn expire(
        &mut self,
        now: MonoTime,
        is_listed: impl Fn(&ServerId, Option<Incarnation>) -> bool,
    ) -> Vec<ServerId> {
        self.leaving.retain(|server, leaving| {
            is_listed(server, leaving.started) || now.since(leaving.heard) < LEAVING_MEMORY
        });
        self.paused.retain(|_, until| now < *until);
        self.strained.retain(|_, until| now < *until);
        self.limits.expire(now)
    }

    /// Drops delistings that no longer matter; `can_read` tells whether this entry reads the list.
    pub fn expire_delistings(&mut self, now: MonoTime, can_read: bool) {
        self.delistings.expire(now, can_read);
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
