//! Whom an entry asks for changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::FeedRole;
use super::limits::MAX_STALE;
use super::limits::MAX_UNANSWERED;
use super::limits::SOURCE_AVOIDANCE;
use super::limits::STALE_AVOIDANCE;
use crate::direct::BootTime;
use crate::types::DomainId;
use crate::types::NodeId;

/// Chooses the entry to ask: all entries of a failure domain agree on an order by their names, so
/// that most of them ask the same one.
#[derive(Clone, Debug)]
pub struct FeedSource {
    node: NodeId,
    domain: DomainId,
    /// The other entries of this failure domain.
    peers: BTreeMap<NodeId, SocketAddr>,
    /// Until when an entry is avoided; this one too, if it cannot reach the store.
    avoided: BTreeMap<NodeId, BootTime>,
    /// Unanswered questions in a row.
    unanswered: u32,
    /// Answers in a row that were too old.
    stale: u32,
}

impl FeedSource {
    /// Creates the choice of the entry `node`, which knows no others yet.
    #[must_use]
    pub const fn new(node: NodeId, domain: DomainId) -> Self {
        Self {
            node,
            domain,
            peers: BTreeMap::new(),
            avoided: BTreeMap::new(),
            unanswered: 0,
            stale: 0,
        }
    }

    /// Adds or updates another entry.
    pub fn insert(&mut self, node: NodeId, addr: SocketAddr, domain: Option<&DomainId>) {
        if domain == Some(&self.domain) {
            self.peers.insert(node, addr);
        }
    }

    /// Removes another entry.
    pub fn remove(&mut self, node: &NodeId) {
        self.peers.remove(node);
        self.avoided.remove(node);
    }

    /// Forgets all other entries.
    pub fn clear(&mut self) {
        self.peers.clear();
    }

    /// Whether there is no other entry in this failure domain.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.peers.is_empty()
    }

    /// How this entry follows the store now.
    #[must_use]
    pub fn role(&self, now: BootTime) -> FeedRole {
        let is_usable = |node: &NodeId| self.avoided.get(node).is_none_or(|until| now >= *until);
        if self.stale >= MAX_STALE && is_usable(&self.node) {
            return FeedRole::Reader;
        }
        let all = self.peers.keys().chain([&self.node]);
        let best = all
            .filter(|node| is_usable(node))
            .min_by_key(|node| rank(node));
        let addr = best.and_then(|node| Some((node, self.peers.get(node)?)));
        addr.map_or(FeedRole::Reader, |(node, addr)| {
            FeedRole::Follower(node.clone(), *addr)
        })
    }

    /// Records an answer.
    pub const fn record_answer(&mut self) {
        self.unanswered = 0;
        self.stale = 0;
    }

    /// Records an answer that was too old: its entry does not reach the store at the moment.
    pub fn record_stale(&mut self, now: BootTime, node: &NodeId) {
        self.unanswered = 0;
        self.stale += 1;
        self.avoided
            .insert(node.clone(), now.after(STALE_AVOIDANCE));
    }

    /// Records that a question was not answered; returns whether its entry is avoided from now on.
    pub fn record_silence(&mut self, now: BootTime, node: &NodeId) -> bool {
        self.unanswered += 1;
        if self.unanswered < MAX_UNANSWERED {
            return false;
        }
        self.avoid(now, node);
        true
    }

    /// Avoids an entry that is silent, or this one while it cannot reach the store.
    pub fn avoid(&mut self, now: BootTime, node: &NodeId) {
        self.unanswered = 0;
        self.avoided
            .insert(node.clone(), now.after(SOURCE_AVOIDANCE));
    }

    /// Records that this entry reaches the store.
    pub fn record_reached(&mut self) {
        self.avoided.remove(&self.node);
        self.stale = 0;
    }
}

/// The place of an entry in the order, the same at all entries.
fn rank(node: &NodeId) -> (u64, &NodeId) {
    let hash = rapidhash::v3::rapidhash_v3(node.as_str().as_bytes());
    (hash, node)
}
