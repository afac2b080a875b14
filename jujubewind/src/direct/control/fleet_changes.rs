//! How changes of the lists of backend servers and entries reach the scheduling state.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::Core;
use super::FleetChange;
use crate::direct::Delisting;
use crate::direct::Replacement;
use crate::direct::Server;
use crate::direct::ServerId;
use crate::direct::ServerState;
use crate::types::DomainId;
use crate::types::MonoTime;

impl Core {
    /// Applies a change of the server and peer lists; returns servers whose pooled connections are
    /// stale.
    pub fn apply_fleet_change(&mut self, now: MonoTime, change: FleetChange) -> Vec<ServerId> {
        let mut gone = Vec::new();
        match change {
            FleetChange::Servers(servers) => {
                gone = self.replace_servers(now, servers);
                self.prefer_listed();
                self.refresh_all_limits(now);
            }
            FleetChange::Restored(servers) => {
                self.roster.restore(now, servers);
                self.note_list(now, &[]);
                self.prefer_listed();
                self.has_peers_listed = true;
                self.refresh_all_limits(now);
            }
            FleetChange::Listed(server) => {
                let id = server.id.clone();
                if self.roster.insert(server) {
                    self.health.remove(&id);
                    gone.push(id.clone());
                }
                self.note_listing(now, &id);
                self.preferences.insert(&id);
                self.refresh_limit(now, &id);
            }
            FleetChange::Removed(id) => {
                let removed = self.roster.remove(now, &id);
                self.note_removals(now, removed.as_slice());
                if self.roster.get(&id).is_none() {
                    self.health.remove(&id);
                    self.preferences.remove(&id);
                    gone.push(id);
                }
            }
            FleetChange::Evacuations(domains) => self.replace_evacuations(now, &domains),
            FleetChange::Evacuated(domain) => self.evacuate(&domain),
            FleetChange::Returned(domain) => self.end_evacuation(now, &domain),
            FleetChange::Grace(grace) => self.roster.extend_grace(now, grace),
            FleetChange::OutageStarted => self.roster.begin_outage(now),
            FleetChange::OutageEnded => self.roster.end_outage(now),
            FleetChange::Peers(peers) => {
                self.peers = peers.into_iter().map(|peer| peer.node).collect();
                self.has_peers_listed = true;
                self.preferences.set_peers(self.peers.iter());
                self.refresh_limits(now);
            }
            FleetChange::PeerListed(peer) => {
                self.peers.insert(peer.node);
                self.preferences.set_peers(self.peers.iter());
                self.refresh_limits(now);
            }
            FleetChange::PeerRemoved(peer) => {
                self.peers.remove(&peer);
                self.ledger.remove_peer(&peer);
                self.preferences.set_peers(self.peers.iter());
                self.refresh_limits(now);
            }
        }
        gone
    }

    fn prefer_listed(&mut self) {
        let servers = self.roster.iter().map(|server| &server.id);
        self.preferences.set_servers(servers);
    }

    fn replace_evacuations(&mut self, now: MonoTime, domains: &BTreeSet<DomainId>) {
        let ended = self.notices.evacuated().difference(domains).cloned();
        for domain in ended.collect::<Vec<_>>() {
            self.end_evacuation(now, &domain);
        }
        for domain in domains {
            self.evacuate(domain);
        }
    }

    fn evacuate(&mut self, domain: &DomainId) {
        if self.notices.evacuate(domain.clone()) {
            crate::event!(info, "domain_evacuated", domain = domain);
            self.has_delisted = true;
        }
    }

    fn end_evacuation(&mut self, now: MonoTime, domain: &DomainId) {
        if self.notices.end_evacuation(domain) {
            crate::event!(info, "domain_returned", domain = domain);
            self.assume_cold(now, domain);
            self.has_delisted = true;
        }
    }

    /// Replaces the whole list; returns the servers whose incarnation is no longer listed.
    fn replace_servers(&mut self, now: MonoTime, servers: Vec<Server>) -> Vec<ServerId> {
        let Replacement { removed, restarted } = self.roster.replace_all(now, servers);
        self.note_list(now, &removed);
        self.health.retain(|id, _| self.roster.get(id).is_some());
        for id in &restarted {
            self.health.remove(id);
        }
        let removed = removed.iter().map(|server| server.id.clone());
        removed.chain(restarted).collect()
    }

    /// Notes which servers a new list leaves out or shows as draining.
    fn note_list(&mut self, now: MonoTime, removed: &[Rc<Server>]) {
        self.note_removals(now, removed);
        let listed: Vec<ServerId> = self.roster.iter().map(|server| server.id.clone()).collect();
        for id in &listed {
            self.note_listing(now, id);
        }
    }

    pub(super) fn note_removals(&mut self, now: MonoTime, removed: &[Rc<Server>]) {
        for server in removed {
            let is_news = self
                .notices
                .record_delisting(now, server, Delisting::Removed);
            self.has_delisted |= is_news;
        }
    }

    fn note_listing(&mut self, now: MonoTime, id: &ServerId) {
        self.record_cold(now, id);
        let Some(server) = self.roster.get(id) else {
            return;
        };
        match server.state {
            ServerState::Draining => {
                let is_news = self
                    .notices
                    .record_delisting(now, server, Delisting::Draining);
                self.has_delisted |= is_news;
            }
            ServerState::Ready => self.notices.record_listing(id),
        }
    }
}
