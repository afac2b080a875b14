//! The ways by which an entry's updates reach all others.
//!
//! An update goes to each entry of the own failure domain and to one entry of each other domain,
//! which passes it on to the rest of its own. Links between failure domains are costly, and this
//! crosses each of them once instead of once for each entry. Entries choose different ones to pass
//! on their updates, so that the work is shared and the end of one concerns few.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::Peer;
use crate::types::DomainId;
use crate::types::NodeId;

/// The peers of a failure domain that pass updates on by turns.
const RELAYS_IN_TURN: usize = 2;

/// The other entries, by the way to them.
#[derive(Clone, Debug)]
pub struct PeerRoutes {
    node: NodeId,
    domain: DomainId,
    peers: BTreeMap<NodeId, Peer>,
    near: Rc<[SocketAddr]>,
}

impl PeerRoutes {
    /// Creates the routes of the entry `node`, which knows no others yet.
    #[must_use]
    pub fn new(node: NodeId, domain: DomainId) -> Self {
        Self {
            node,
            domain,
            peers: BTreeMap::new(),
            near: Rc::new([]),
        }
    }

    /// Replaces all peers.
    pub fn replace_all(&mut self, peers: Vec<Peer>) {
        let named = peers.into_iter().map(|peer| (peer.node.clone(), peer));
        self.peers = named.collect();
        self.refresh();
    }

    /// Adds or updates a peer.
    pub fn insert(&mut self, peer: Peer) {
        self.peers.insert(peer.node.clone(), peer);
        self.refresh();
    }

    /// Removes a peer.
    pub fn remove(&mut self, node: &NodeId) {
        self.peers.remove(node);
        self.refresh();
    }

    /// Whether there is no other entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The peers that get updates directly: those of this failure domain, and those that told none.
    #[must_use]
    pub fn near(&self) -> Rc<[SocketAddr]> {
        self.near.clone()
    }

    /// One peer of each other failure domain, which passes updates on.
    ///
    /// Peers that are not live are chosen only if there are no others. `turn` alternates between
    /// the best two, so that a peer that receives nothing delays updates but does not stop them.
    #[must_use]
    pub fn relays(&self, turn: u64, is_live: impl Fn(&NodeId) -> bool) -> Rc<[SocketAddr]> {
        let mut domains: BTreeMap<&DomainId, Vec<(bool, u64, &Peer)>> = BTreeMap::new();
        for peer in self.peers.values() {
            if let Some(domain) = self.far_domain(peer) {
                let rank = (!is_live(&peer.node), self.rank(peer), peer);
                domains.entry(domain).or_default().push(rank);
            }
        }
        let choose = |mut ranks: Vec<(bool, u64, &Peer)>| {
            ranks.sort_by_key(|(is_silent, rank, _)| (*is_silent, *rank));
            let live = ranks.iter().filter(|(is_silent, ..)| !is_silent).count();
            let choices = live.clamp(1, RELAYS_IN_TURN);
            let index = usize::try_from(turn).unwrap_or(0) % choices;
            ranks.get(index).map(|(.., peer)| peer.addr)
        };
        domains.into_values().filter_map(choose).collect()
    }

    /// The failure domain of a peer, if it is another one.
    fn far_domain<'a>(&self, peer: &'a Peer) -> Option<&'a DomainId> {
        peer.domain
            .as_ref()
            .filter(|domain| **domain != self.domain)
    }

    /// The place of a peer in this entry's order; other entries have other orders.
    fn rank(&self, peer: &Peer) -> u64 {
        let pair = format!("{} {}", self.node, peer.node);
        rapidhash::v3::rapidhash_v3(pair.as_bytes())
    }

    fn refresh(&mut self) {
        let is_near = |peer: &&Peer| self.far_domain(peer).is_none();
        let near = self.peers.values().filter(is_near);
        self.near = near.map(|peer| peer.addr).collect();
    }
}
