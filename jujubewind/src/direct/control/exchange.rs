//! What the scheduling state exchanges with peers.

use super::Core;
use crate::conviction::Suspect;
use crate::direct::Digest;
use crate::direct::PeerNotice;
use crate::direct::Row;
use crate::direct::ToldLimit;
use crate::types::MonoTime;
use crate::types::NodeId;

impl Core {
    /// Merges a digest from a peer.
    pub fn merge(&mut self, now: MonoTime, digest: Digest) {
        self.merge_suspects(now, &digest.node, &digest.suspects);
        for notice in &digest.notices {
            if let Some(told) = notice.limit
                && self.notices.merge_limit(now, notice)
            {
                log_told_limit(&digest.node, notice, told);
                self.refresh_limit(now, &notice.server);
            }
            if self.notices.merge(now, notice) {
                crate::event!(
                    info,
                    "server_left",
                    server = notice.server,
                    peer = digest.node
                );
            }
        }
        self.ledger
            .merge(now, &digest.node, digest.stamp, digest.rows);
    }

    /// Whether a digest of a peer arrived recently, so that it can pass on updates.
    #[must_use]
    pub fn is_live_peer(&self, now: MonoTime, peer: &NodeId) -> bool {
        self.ledger.is_live(now, peer)
    }

    /// Takes the rows and suspects to send to peers: those that changed, or every row if `all` is
    /// set.
    pub fn take_updates(&mut self, now: MonoTime, all: bool) -> (Vec<Row>, Vec<Suspect>) {
        let changed = self.ledger.take_changed(now);
        let rows = if all { self.ledger.rows(now) } else { changed };
        let entries = self.entry_count(now);
        let mut suspects = self.suspects.take_urgent(now, entries);
        if all {
            suspects.extend(self.suspects.take(now));
        }
        (rows, suspects)
    }
}

fn log_told_limit(peer: &NodeId, notice: &PeerNotice, told: ToldLimit) {
    let incarnation = notice.started.unwrap_or_default();
    match told.rate {
        Some(rate) => crate::event!(
            info,
            "server_limit_named",
            server = notice.server,
            incarnation = incarnation,
            rate = rate,
            peer = peer,
            age = told.age
        ),
        None => crate::event!(
            info,
            "server_limit_ended",
            server = notice.server,
            incarnation = incarnation,
            peer = peer,
            age = told.age
        ),
    }
}
