//! Own requests by backend server, and what peers told of theirs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Assignment;
use super::JobId;
use super::Row;
use super::ServerLoad;
use super::Stamp;
use super::limits::SILENCE;
use crate::direct::ServerId;
use crate::scheduler::Work;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Tokens;

/// What one peer told last.
#[derive(Clone, Debug, Default)]
struct Peer {
    heard: MonoTime,
    stamp: Stamp,
    rows: BTreeMap<ServerId, (Row, MonoTime)>,
}

/// The shared view of all backend servers.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    assignments: BTreeMap<ServerId, Vec<Assignment>>,
    peers: BTreeMap<NodeId, Peer>,
    changed: BTreeSet<ServerId>,
}

impl Ledger {
    /// Adds a request's claim on a server.
    pub fn take(&mut self, server: &ServerId, assignment: Assignment) {
        self.assignments
            .entry(server.clone())
            .or_default()
            .push(assignment);
        self.changed.insert(server.clone());
    }

    /// Notes that a request's prompt has been read, on all servers that read parts of it.
    pub fn mark_prefilled(&mut self, job: JobId) {
        for (server, assignments) in &mut self.assignments {
            let unread = |assignment: &&mut Assignment| {
                assignment.job == job && assignment.read > Work::ZERO
            };
            for assignment in assignments.iter_mut().filter(unread) {
                assignment.read = Work::ZERO;
                self.changed.insert(server.clone());
            }
        }
        self.drop_where(|assignment| {
            assignment.job == job && !assignment.leads && assignment.memory == Tokens::ZERO
        });
    }

    /// Ends all claims of a request.
    pub fn leave(&mut self, job: JobId) {
        self.drop_where(|assignment| assignment.job == job);
    }

    /// Takes in what a peer told.
    ///
    /// What an earlier digest says is dropped, and a peer that started anew begins with nothing.
    pub fn merge(&mut self, now: MonoTime, peer: &NodeId, stamp: Stamp, rows: Vec<Row>) {
        let peer = self.peers.entry(peer.clone()).or_default();
        if stamp < peer.stamp {
            return;
        }
        if stamp.life > peer.stamp.life {
            peer.rows.clear();
        }
        peer.stamp = stamp;
        peer.heard = now;
        for row in rows {
            peer.rows.insert(row.server.clone(), (row, now));
        }
    }

    /// Forgets a peer that has left, or has started anew.
    pub fn forget(&mut self, peer: &NodeId) {
        self.peers.remove(peer);
    }

    /// How many peers were heard of lately.
    #[must_use]
    pub fn peers(&self, now: MonoTime) -> usize {
        let heard = |peer: &&Peer| now.since(peer.heard) < SILENCE;
        self.peers.values().filter(heard).count()
    }

    /// The load of one server.
    #[must_use]
    pub fn load(&self, now: MonoTime, server: &ServerId) -> ServerLoad {
        let mut load = ServerLoad::default();
        if let Some(assignments) = self.assignments.get(server) {
            let row = Row::of(server.clone(), now, assignments);
            load.add(&row, row.read);
        }
        for peer in self.peers.values() {
            if now.since(peer.heard) >= SILENCE {
                continue;
            }
            if let Some((row, at)) = peer.rows.get(server) {
                load.add(row, row.unread(now.since(*at)));
            }
        }
        load
    }

    /// The rows that changed since the last call.
    pub fn take_changed(&mut self, now: MonoTime) -> Vec<Row> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|id| self.row(id, now)).collect()
    }

    /// Every row with a claim, for a peer that knows nothing yet or missed something.
    #[must_use]
    pub fn rows(&self, now: MonoTime) -> Vec<Row> {
        self.assignments
            .keys()
            .map(|id| self.row(id.clone(), now))
            .collect()
    }

    /// Whether a row changed since it was last taken.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// The requests of this entry at a server.
    pub fn jobs(&self, server: &ServerId) -> impl Iterator<Item = JobId> {
        let assignments = self.assignments.get(server).map_or(&[][..], Vec::as_slice);
        assignments.iter().map(|assignment| assignment.job)
    }

    fn row(&self, server: ServerId, now: MonoTime) -> Row {
        let assignments = self.assignments.get(&server).map_or(&[][..], Vec::as_slice);
        Row::of(server, now, assignments)
    }

    fn drop_where(&mut self, gone: impl Fn(&Assignment) -> bool) {
        for (server, assignments) in &mut self.assignments {
            let before = assignments.len();
            assignments.retain(|assignment| !gone(assignment));
            if assignments.len() != before {
                self.changed.insert(server.clone());
            }
        }
        self.assignments
            .retain(|_, assignments| !assignments.is_empty());
    }
}
