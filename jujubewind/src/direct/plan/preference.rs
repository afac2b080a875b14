//! Which servers each entry prefers.

use std::collections::BTreeMap;

use crate::direct::ServerId;
use crate::types::NodeId;

const PERMILLE: u64 = 1_000;
/// An odd number whose multiples spread over all bits (Knuth, The Art of Computer Programming, 6.4).
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// How much an entry leaves a server to others, in thousandths; zero at the server's first entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference(u64);

impl Preference {
    /// The thousandths.
    #[must_use]
    pub const fn permille(self) -> u64 {
        self.0
    }
}

/// The preferences of one entry.
///
/// Rendezvous hashing ranks the entries for each server, so that all entries agree without a message,
/// each has about as many servers of its own, and one that starts or leaves changes little.
#[derive(Clone, Debug, Default)]
pub struct Preferences {
    node: u64,
    peers: Vec<u64>,
    known: BTreeMap<ServerId, Preference>,
}

impl Preferences {
    /// The preferences of `node`, which knows no other entries yet.
    #[must_use]
    pub fn new(node: &NodeId) -> Self {
        Self {
            node: hash(node.as_str()),
            ..Self::default()
        }
    }

    /// Replaces the other entries.
    pub fn set_peers<'a>(&mut self, peers: impl Iterator<Item = &'a NodeId>) {
        self.peers = peers.map(|peer| hash(peer.as_str())).collect();
        let servers: Vec<ServerId> = self.known.keys().cloned().collect();
        self.set_servers(servers.iter());
    }

    /// Replaces the servers.
    pub fn set_servers<'a>(&mut self, servers: impl Iterator<Item = &'a ServerId>) {
        self.known = servers
            .map(|server| (server.clone(), self.rank(server)))
            .collect();
    }

    /// Adds a server.
    pub fn insert(&mut self, server: &ServerId) {
        if !self.known.contains_key(server) {
            self.known.insert(server.clone(), self.rank(server));
        }
    }

    /// Removes a server.
    pub fn remove(&mut self, server: &ServerId) {
        self.known.remove(server);
    }

    /// How much this entry leaves a server to others.
    #[must_use]
    pub fn of(&self, server: &ServerId) -> Preference {
        self.known.get(server).copied().unwrap_or_default()
    }

    fn rank(&self, server: &ServerId) -> Preference {
        let server = hash(server.as_str());
        let own = mix(server, self.node);
        if self.peers.is_empty() {
            // The other entries are not known yet, and all that start must not choose alike.
            return Preference(own % PERMILLE);
        }
        let ahead = self
            .peers
            .iter()
            .filter(|peer| mix(server, **peer) < own)
            .count();
        let place = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        Preference(place(ahead) * PERMILLE / (place(self.peers.len()) + 1))
    }
}

fn hash(name: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(name.as_bytes())
}

fn mix(server: u64, node: u64) -> u64 {
    let product = (server ^ node.rotate_left(32)).wrapping_mul(MIX);
    (product ^ (product >> 32)).wrapping_mul(MIX)
}
