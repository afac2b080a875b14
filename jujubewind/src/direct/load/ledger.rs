//! The load on each backend server: this entry's assignments and the rows of its peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Assignment;
use super::Inflow;
use super::JobId;
use super::Row;
use super::ServerLoad;
use super::Stamp;
use super::limits::PEER_TIMEOUT;
use super::limits::RELAY_TIMEOUT;
use super::limits::VIEW_LAG;
use crate::direct::ServerId;
use crate::scheduler::Work;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Tokens;

/// The last digest of a peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    last_heard: MonoTime,
    stamp: Stamp,
}

/// A row of a peer, when it was received and the number of its digest.
#[derive(Clone, Debug)]
struct Received {
    row: Row,
    at: MonoTime,
    number: u64,
}

impl Received {
    /// Whether the row still counts.
    ///
    /// A peer repeats each of its rows in every full update, so that the end of its requests shows
    /// by the row's age even if the update that told of it was lost.
    fn is_current(&self, now: MonoTime) -> bool {
        now.since(self.at) < PEER_TIMEOUT
    }

    /// The prefill work that remains.
    fn remaining(&self, now: MonoTime) -> Work {
        self.row.remaining(now.since(self.at))
    }
}

/// The load that all entries put on each backend server.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    assignments: BTreeMap<ServerId, Vec<Assignment>>,
    peers: BTreeMap<NodeId, Peer>,
    /// The rows of each server by peer, so that a server's load costs as much as entries use it.
    rows: BTreeMap<ServerId, BTreeMap<NodeId, Received>>,
    inflow: Inflow,
    changed: BTreeSet<ServerId>,
}

impl Ledger {
    /// Adds a request's assignment to a server.
    pub fn assign(&mut self, server: &ServerId, assignment: Assignment) {
        self.assignments
            .entry(server.clone())
            .or_default()
            .push(assignment);
        self.changed.insert(server.clone());
    }

    /// Records that a request's prompt has been prefilled, on all servers that prefilled parts of
    /// it.
    pub fn mark_prefilled(&mut self, job: JobId) {
        for (server, assignments) in &mut self.assignments {
            let is_pending = |assignment: &&mut Assignment| {
                assignment.job == job && assignment.prefill > Work::ZERO
            };
            for assignment in assignments.iter_mut().filter(is_pending) {
                assignment.prefill = Work::ZERO;
                self.changed.insert(server.clone());
            }
        }
        self.release_where(|assignment| {
            assignment.job == job && !assignment.is_primary && assignment.memory == Tokens::ZERO
        });
    }

    /// Removes all assignments of a request.
    pub fn release(&mut self, job: JobId) {
        self.release_where(|assignment| assignment.job == job);
    }

    /// Merges the rows of a peer's digest.
    ///
    /// Digests may overtake each other on their ways, so that of each row the newest counts. A new
    /// incarnation of a peer clears its old rows.
    pub fn merge(&mut self, now: MonoTime, node: &NodeId, stamp: Stamp, rows: Vec<Row>) {
        let peer = self.peers.entry(node.clone()).or_default();
        if stamp.life < peer.stamp.life {
            return;
        }
        let is_restarted = stamp.life > peer.stamp.life;
        peer.stamp = peer.stamp.max(stamp);
        peer.last_heard = now;
        if is_restarted {
            self.remove_rows(node);
        }
        let number = stamp.number;
        for row in rows {
            let known = self.rows.entry(row.server.clone()).or_default();
            let is_newest = |known: &Received| known.number <= number;
            let known_row = known.get(node);
            if known_row.is_none_or(is_newest) {
                let at = now;
                let before = known_row.map_or(Work::ZERO, |known| known.remaining(now));
                self.inflow.record(now, row.read.saturating_sub(before));
                known.insert(node.clone(), Received { row, at, number });
            }
        }
    }

    /// Removes a peer that has left.
    pub fn remove_peer(&mut self, node: &NodeId) {
        self.peers.remove(node);
        self.remove_rows(node);
    }

    /// Drops rows that their peers no longer list.
    pub fn expire(&mut self, now: MonoTime) {
        self.rows.retain(|_, rows| {
            rows.retain(|_, received| received.is_current(now));
            !rows.is_empty()
        });
    }

    /// The number of peers whose last digest is recent.
    #[must_use]
    pub fn live_peers(&self, now: MonoTime) -> usize {
        let is_live = |peer: &&Peer| now.since(peer.last_heard) < PEER_TIMEOUT;
        self.peers.values().filter(is_live).count()
    }

    /// Whether a peer's last digest is recent enough for it to pass on updates.
    #[must_use]
    pub fn is_live(&self, now: MonoTime, peer: &NodeId) -> bool {
        let known = self.peers.get(peer);
        known.is_some_and(|peer| now.since(peer.last_heard) < RELAY_TIMEOUT)
    }

    /// The load of one server from all entries.
    #[must_use]
    pub fn load(&self, now: MonoTime, server: &ServerId) -> ServerLoad {
        let mut load = ServerLoad::default();
        if let Some(assignments) = self.assignments.get(server) {
            let row = Row::of(server.clone(), now, assignments);
            load.add(&row, row.read);
        }
        for received in self.rows.get(server).into_iter().flat_map(BTreeMap::values) {
            if received.is_current(now) {
                load.add(&received.row, received.remaining(now));
            }
        }
        load
    }

    /// The prefill work that peers have probably started and that does not show here yet.
    #[must_use]
    pub fn unseen(&self, now: MonoTime) -> Work {
        self.inflow.within(now, VIEW_LAG)
    }

    /// Takes the rows that changed since the last call.
    pub fn take_changed(&mut self, now: MonoTime) -> Vec<Row> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|id| self.row(id, now)).collect()
    }

    /// Every row with an assignment, for peers that are new or missed an update.
    #[must_use]
    pub fn rows(&self, now: MonoTime) -> Vec<Row> {
        self.assignments
            .keys()
            .map(|id| self.row(id.clone(), now))
            .collect()
    }

    /// Whether rows changed since they were last taken.
    #[must_use]
    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// This entry's requests on a server.
    pub fn jobs(&self, server: &ServerId) -> impl Iterator<Item = JobId> {
        let assignments = self.assignments.get(server).map_or(&[][..], Vec::as_slice);
        assignments.iter().map(|assignment| assignment.job)
    }

    fn remove_rows(&mut self, node: &NodeId) {
        for rows in self.rows.values_mut() {
            rows.remove(node);
        }
    }

    fn row(&self, server: ServerId, now: MonoTime) -> Row {
        let assignments = self.assignments.get(&server).map_or(&[][..], Vec::as_slice);
        Row::of(server, now, assignments)
    }

    fn release_where(&mut self, is_released: impl Fn(&Assignment) -> bool) {
        for (server, assignments) in &mut self.assignments {
            let before = assignments.len();
            assignments.retain(|assignment| !is_released(assignment));
            if assignments.len() != before {
                self.changed.insert(server.clone());
            }
        }
        self.assignments
            .retain(|_, assignments| !assignments.is_empty());
    }
}
