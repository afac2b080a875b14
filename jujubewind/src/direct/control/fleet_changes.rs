//! How changes of the lists of backend servers and entries reach the scheduling state.

use super::Core;
use super::FleetChange;
use crate::direct::ServerId;
use crate::types::MonoTime;

impl Core {
    /// Applies a change of the server and peer lists; returns servers whose pooled connections are
    /// stale.
    pub fn apply_fleet_change(&mut self, now: MonoTime, change: FleetChange) -> Vec<ServerId> {
        let mut gone = Vec::new();
        match change {
            FleetChange::Servers(servers) => {
                self.roster.replace_all(now, servers);
                self.health.retain(|id, _| self.roster.get(id).is_some());
            }
            FleetChange::Restored(servers) => self.roster.restore(now, servers),
            FleetChange::Listed(server) => {
                let id = server.id.clone();
                if self.roster.insert(server) {
                    self.health.remove(&id);
                    gone.push(id);
                }
            }
            FleetChange::Removed(id) => {
                self.roster.remove(now, &id);
                if self.roster.get(&id).is_none() {
                    self.health.remove(&id);
                    gone.push(id);
                }
            }
            FleetChange::Grace(grace) => self.roster.extend_grace(now, grace),
            FleetChange::OutageStarted => self.roster.begin_outage(now),
            FleetChange::OutageEnded => self.roster.end_outage(now),
            FleetChange::Peers(peers) => {
                self.peers = peers.into_iter().map(|peer| peer.node).collect();
            }
            FleetChange::PeerListed(peer) => {
                self.peers.insert(peer.node);
            }
            FleetChange::PeerRemoved(peer) => {
                self.peers.remove(&peer);
                self.ledger.remove_peer(&peer);
            }
        }
        gone
    }
}
