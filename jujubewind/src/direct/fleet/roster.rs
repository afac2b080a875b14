//! The list of backend servers, which survives outages of the store that publishes it.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::Replacement;
use super::Server;
use super::ServerId;
use super::ServerState;
use super::limits::MIN_OUTAGE;
use super::limits::RELISTING_GRACE;
use super::limits::REMOVAL_MEMORY;
use crate::conviction::Crash;
use crate::direct::ServiceId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;

/// A listed server.
#[derive(Clone, Debug)]
struct Listed {
    server: Rc<Server>,
    /// When it is dropped, if its registration expired during an outage or shortly afterwards.
    expires: Option<MonoTime>,
}

/// All listed backend servers, by identifier.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    servers: BTreeMap<ServerId, Listed>,
    /// When the current outage began.
    outage_start: Option<MonoTime>,
    /// Until when missing servers are kept after the last outage.
    grace_end: MonoTime,
    /// Incarnations that were removed, and when.
    removed: BTreeMap<ServerId, (Option<Incarnation>, MonoTime)>,
}

impl Roster {
    /// Adds or updates a server; returns whether it has restarted since it was last listed.
    ///
    /// An incarnation that was draining stays so: it never takes requests again.
    pub fn insert(&mut self, mut server: Server) -> bool {
        let known = self.servers.get(&server.id).map(|known| &known.server);
        let restarted = known.is_some_and(|known| known.started != server.started);
        let is_same = server.started.is_some() && !restarted;
        if is_same && known.is_some_and(|known| known.state == ServerState::Draining) {
            server.state = ServerState::Draining;
        }
        let id = server.id.clone();
        self.removed.remove(&id);
        let server = Rc::new(server);
        self.servers.insert(
            id,
            Listed {
                server,
                expires: None,
            },
        );
        restarted
    }

    /// Removes a server and returns it, or marks it to expire if an outage may have caused its
    /// removal.
    pub fn remove(&mut self, now: MonoTime, id: &ServerId) -> Option<Rc<Server>> {
        if now >= self.grace_end {
            return self.drop_server(now, id);
        }
        let listed = self.servers.get_mut(id)?;
        if listed.expires.replace(self.grace_end).is_none() {
            let grace = now.until(self.grace_end);
            crate::event!(info, "server_kept", server = id, grace = grace);
        }
        None
    }

    /// Replaces the whole list; missing servers are removed.
    pub fn replace_all(&mut self, now: MonoTime, servers: Vec<Server>) -> Replacement {
        let kept: Vec<ServerId> = servers.iter().map(|server| server.id.clone()).collect();
        let gone: Vec<ServerId> = self.servers.keys().cloned().collect();
        let missing = gone.iter().filter(|id| !kept.contains(id));
        let removed = missing.filter_map(|id| self.remove(now, id)).collect();
        let listed = servers.into_iter();
        let restarted = listed.filter_map(|server| {
            let id = server.id.clone();
            self.insert(server).then_some(id)
        });
        let restarted = restarted.collect();
        Replacement { removed, restarted }
    }

    /// Merges the list of a store that was restored from an older copy.
    ///
    /// A missing server is kept as after an outage, one that was leaving stays so, and one that was
    /// removed or has restarted since is not taken back before it registers again.
    pub fn restore(&mut self, now: MonoTime, mut servers: Vec<Server>) {
        self.grace_end = now.after(RELISTING_GRACE);
        servers.retain(|server| !self.was_removed(server) && !self.has_restarted(server));
        for server in &mut servers {
            let known = self.get(&server.id);
            let is_same = |known: &&Rc<Server>| known.started == server.started;
            if let Some(known) = known.filter(is_same)
                && known.state == ServerState::Draining
            {
                server.state = ServerState::Draining;
            }
        }
        self.replace_all(now, servers);
    }

    /// Keeps missing servers for `grace`, after an outage that another entry saw.
    pub fn extend_grace(&mut self, now: MonoTime, grace: Millis) {
        self.grace_end = self.grace_end.max(now.after(grace));
    }

    /// Records that the list can no longer be read.
    pub fn begin_outage(&mut self, now: MonoTime) {
        self.outage_start.get_or_insert(now);
    }

    /// Records that the list can be read again. An outage shorter than a registration's
    /// lifetime cannot make that of a live server expire, so it grants missing servers no grace
    /// period.
    pub fn end_outage(&mut self, now: MonoTime) {
        let Some(began) = self.outage_start.take() else {
            return;
        };
        if now.since(began) >= MIN_OUTAGE {
            self.grace_end = now.after(RELISTING_GRACE);
        }
    }

    /// Drops servers that were not listed again in time; returns them.
    pub fn expire(&mut self, now: MonoTime) -> Vec<Rc<Server>> {
        let is_expired = |listed: &Listed| listed.expires.is_some_and(|expires| expires <= now);
        let gone: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, listed)| is_expired(listed))
            .map(|(id, _)| id.clone())
            .collect();
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMOVAL_MEMORY);
        let dropped = gone.iter().filter_map(|id| self.drop_server(now, id));
        dropped.collect()
    }

    /// Looks up a server.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&Rc<Server>> {
        self.servers.get(id).map(|listed| &listed.server)
    }

    /// The crash that a failure of the server is counted as, one for each of its incarnations.
    #[must_use]
    pub fn crash_identity(&self, id: &ServerId) -> Option<Crash> {
        let started = self.get(id)?.started.unwrap_or_default();
        Some(Crash {
            node: id.as_str().parse().ok()?,
            incarnation: started,
            number: 0,
        })
    }

    /// The servers of a service that accept new requests.
    pub fn ready(&self, service: &ServiceId) -> impl Iterator<Item = &Rc<Server>> {
        self.servers
            .values()
            .map(|listed| &listed.server)
            .filter(move |server| server.service == *service)
            .filter(|server| server.state == ServerState::Ready)
    }

    /// Whether an incarnation of a server is listed.
    #[must_use]
    pub fn lists(&self, id: &ServerId, started: Option<Incarnation>) -> bool {
        self.get(id).is_some_and(|server| server.started == started)
    }

    /// The incarnation of a server that was removed, if it is known.
    #[must_use]
    pub fn removed(&self, id: &ServerId) -> Option<Incarnation> {
        self.removed.get(id).and_then(|(started, _)| *started)
    }

    /// Whether this incarnation, or a later one, was removed.
    fn was_removed(&self, server: &Server) -> bool {
        let removed = self.removed.get(&server.id);
        removed.is_some_and(|(started, _)| server.is_up_to(*started))
    }

    /// Whether a later incarnation is listed.
    fn has_restarted(&self, server: &Server) -> bool {
        let known = self.get(&server.id);
        known.is_some_and(|known| known.started != server.started && server.is_up_to(known.started))
    }

    fn drop_server(&mut self, now: MonoTime, id: &ServerId) -> Option<Rc<Server>> {
        let server = self.servers.remove(id)?.server;
        self.removed.insert(id.clone(), (server.started, now));
        Some(server)
    }

    /// Whether the list can be read, as far as is known.
    #[must_use]
    pub const fn is_readable(&self) -> bool {
        self.outage_start.is_none()
    }

    /// All listed servers.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.servers.values().map(|listed| &listed.server)
    }

    /// The number of listed servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
