//! The limits on requests that backend servers have named to this entry or to its peers.

use std::collections::BTreeMap;

use super::Server;
use super::ServerId;
use super::ToldLimit;
use super::limits::LIMIT_MEMORY;
use super::limits::TELLING_SPAN;
use super::limits::TOLD_MEMORY;
use crate::pace::ServerLimit;
use crate::types::Incarnation;
use crate::types::MonoTime;
use crate::types::RequestRate;

/// The latest that is known of the limit of one incarnation.
#[derive(Clone, Copy, Debug)]
struct Known {
    started: Option<Incarnation>,
    /// As the server named it last, to this entry or to a peer.
    limit: ServerLimit,
    /// When it said so to this entry, if it did.
    heard: Option<MonoTime>,
    /// When a peer last told it.
    told: MonoTime,
}

/// The limits that are in force, and those that ended lately.
///
/// Of what peers tell and what responses to this entry name, the later one holds.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    known: BTreeMap<ServerId, Known>,
}

impl ServerLimits {
    /// Records that a response to this entry named a limit; returns whether the limit in force
    /// changed.
    pub fn record_named(&mut self, now: MonoTime, server: &Server, rate: RequestRate) -> bool {
        let known = self.known.get(&server.id);
        if known.is_some_and(|known| known.started > server.started) {
            return false;
        }
        let before = self.rate(server);
        let known = Known {
            started: server.started,
            limit: ServerLimit::new(Some(rate), now),
            heard: Some(now),
            told: now,
        };
        self.known.insert(server.id.clone(), known);
        before != Some(rate)
    }

    /// Records a response without a limit to a request that was sent at `sent`; returns whether it
    /// ended the limit in force.
    pub fn record_unlimited(&mut self, now: MonoTime, server: &Server, sent: MonoTime) -> bool {
        let Some(known) = self.known.get_mut(&server.id) else {
            return false;
        };
        let is_ended = known.started == server.started && known.limit.record_unlimited(now, sent);
        if is_ended {
            known.heard = Some(now);
        }
        is_ended
    }

    /// Merges what a peer was told; returns whether the limit in force changed.
    pub fn merge(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        started: Option<Incarnation>,
        told: ToldLimit,
    ) -> bool {
        let at = now.before(told.age);
        let newer = Known {
            started,
            limit: ServerLimit::new(told.rate, at),
            heard: None,
            told: now,
        };
        let Some(known) = self.known.get_mut(server) else {
            self.known.insert(server.clone(), newer);
            return told.rate.is_some();
        };
        let is_same = known.started == started;
        if is_same && known.limit.rate == told.rate {
            known.told = now;
            if at > known.limit.at {
                known.limit.confirm(at);
            }
            return false;
        }
        if known.started > started || (is_same && at < known.limit.at) {
            return false;
        }
        *known = newer;
        true
    }

    /// The requests a second that a server takes from all entries together; `None` without a limit.
    #[must_use]
    pub fn rate(&self, server: &Server) -> Option<RequestRate> {
        let known = self.known.get(&server.id)?;
        known.limit.rate.filter(|_| server.is_up_to(known.started))
    }

    /// The servers with a limit in force.
    pub fn limited(&self) -> impl Iterator<Item = &ServerId> {
        let known = self.known.iter();
        known
            .filter(|(_, known)| known.limit.rate.is_some())
            .map(|(server, _)| server)
    }

    /// What servers have said to this entry itself, for peers; the end of a limit for a while.
    pub fn to_peers(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (&ServerId, Option<Incarnation>, ToldLimit)> {
        let known = self.known.iter();
        known.filter_map(move |(server, known)| {
            let age = now.since(known.heard?);
            let is_current = known.limit.rate.is_some() || age < TELLING_SPAN;
            let rate = known.limit.rate;
            is_current.then_some((server, known.started, ToldLimit { rate, age }))
        })
    }

    /// Drops what no longer matters. Returns the servers whose limit no longer holds: none of the
    /// entries has heard of it for long, or no peer repeats it. The end of a limit is remembered for
    /// as long as a peer that missed it may tell of the limit.
    pub fn expire(&mut self, now: MonoTime) -> Vec<ServerId> {
        let mut lapsed = Vec::new();
        self.known.retain(|server, known| {
            let is_ended = known.limit.rate.is_none();
            let is_told = known.heard.is_some() || now.since(known.told) < TOLD_MEMORY;
            let is_current = now.since(known.limit.at) < LIMIT_MEMORY && (is_told || is_ended);
            if !is_current && !is_ended {
                lapsed.push(server.clone());
            }
            is_current
        });
        lapsed
    }
}
