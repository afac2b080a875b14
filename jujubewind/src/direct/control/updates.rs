//! What the control task tells its peers and hears from them.

use std::net::SocketAddr;
use std::rc::Rc;

use super::limits::FULL_UPDATE_PERIOD;
use super::task::Task;
use crate::conviction::limits::MAX_SUSPECTS_PER_MESSAGE;
use crate::direct::BootTime;
use crate::direct::Datagram;
use crate::direct::Digest;
use crate::direct::Notice;
use crate::direct::OutboundDatagram;
use crate::direct::Server;
use crate::pace::NamedLimit;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::RequestRate;

/// Rows in one datagram, so that it stays below the smallest MTU.
const ROWS_PER_DATAGRAM: usize = 16;
/// Announcements of backend servers in one datagram.
const NOTICES_PER_DATAGRAM: usize = 16;

impl Task {
    /// Takes over what a peer tells.
    pub(super) fn merge(&mut self, now: MonoTime, digest: Digest) {
        let state = &self.shared.state;
        let was_newest = state.is_newest();
        state.hear_peer(BootTime::now(), digest.newest);
        if was_newest && !state.is_newest() {
            crate::event!(
                warn,
                "newer_table_known",
                peer = digest.node,
                version = digest.newest
            );
        }
        let has_notices = !digest.notices.is_empty();
        self.core.merge(now, digest);
        if has_notices {
            self.publish_notices();
        }
        self.dirty = true;
    }

    /// Records a backend server's announcement and sends nothing new there from now on.
    pub(super) fn record_notice(
        &mut self,
        now: MonoTime,
        server: &Server,
        notice: Notice,
        sent: Option<MonoTime>,
    ) {
        self.record_limit(now, server, notice.limit, sent);
        if !self.core.record_notice(now, server, notice) {
            return;
        }
        crate::event!(
            info,
            "server_announcement",
            server = server.id,
            incarnation = server.started.unwrap_or_default(),
            leaving = notice.leaving,
            pause = notice.pause.unwrap_or_default()
        );
        self.shared.metrics.count_notice(notice);
        self.publish_notices();
        self.has_notices = true;
        self.dirty = true;
    }

    /// Records the limit that a backend server named, or no longer names, in a response.
    fn record_limit(
        &mut self,
        now: MonoTime,
        server: &Server,
        limit: NamedLimit,
        sent: Option<MonoTime>,
    ) {
        if limit == NamedLimit::Unreadable && self.unread_limits.insert(server.id.clone()) {
            crate::event!(warn, "server_limit_not_read", server = server.id);
        }
        if !self.core.record_limit(now, server, limit, sent) {
            return;
        }
        log_limit(server, self.core.notices().limit(server));
        self.publish_notices();
        self.has_notices = true;
        self.dirty = true;
    }

    /// Tells a peer that has just been listed which table is in force, who takes no requests and what
    /// is convicted.
    pub(super) fn greet(&mut self, now: MonoTime, addr: SocketAddr) {
        let convicted = self.core.convicted(now);
        let mut suspects = convicted.chunks(MAX_SUSPECTS_PER_MESSAGE);
        let mut notices = self.core.notices().to_peers(now);
        for _ in 0..suspects.len().max(1) {
            self.stamp.number += 1;
            let digest = Digest {
                node: self.node.clone(),
                stamp: self.stamp,
                rows: Vec::new(),
                suspects: suspects.next().unwrap_or_default().to_vec(),
                notices: std::mem::take(&mut notices),
                newest: self.shared.state.vouched_version(BootTime::now()),
            };
            self.send_digest(Datagram::Load(digest), Rc::new([addr]));
        }
    }

    /// Sends changed rows to peers, and periodically all of them.
    pub(super) fn send_updates(&mut self, now: MonoTime) {
        if self.routes.is_empty() {
            return;
        }
        let all = now.since(self.last_full_update) >= FULL_UPDATE_PERIOD;
        if all {
            self.last_full_update = now;
            self.turn += 1;
            self.choose_relays(now);
        }
        let (rows, suspects) = self.core.take_updates(now, all);
        let has_notices = std::mem::take(&mut self.has_notices);
        if rows.is_empty() && suspects.is_empty() && !has_notices && !all {
            return;
        }
        self.stamp.number += 1;
        let mut suspects = Some(suspects);
        let notices = if all || has_notices {
            self.core.notices().to_peers(now)
        } else {
            Vec::new()
        };
        let mut rows = rows.chunks(ROWS_PER_DATAGRAM);
        let mut notices = notices.chunks(NOTICES_PER_DATAGRAM);
        let count = rows.len().max(notices.len()).max(1);
        for _ in 0..count {
            let digest = Digest {
                node: self.node.clone(),
                stamp: self.stamp,
                rows: rows.next().unwrap_or_default().to_vec(),
                suspects: suspects.take().unwrap_or_default(),
                notices: notices.next().unwrap_or_default().to_vec(),
                newest: self.shared.state.vouched_version(BootTime::now()),
            };
            if !self.relays.is_empty() {
                self.send_digest(Datagram::Relay(digest.clone()), self.relays.clone());
            }
            self.send_digest(Datagram::Load(digest), self.routes.near());
        }
    }

    /// Chooses who passes on updates in the other failure domains.
    pub(super) fn choose_relays(&mut self, now: MonoTime) {
        let is_live = |peer: &NodeId| self.core.is_live_peer(now, peer);
        self.relays = self.routes.relays(self.turn, is_live);
    }

    /// Sends a digest unless too many wait to be sent; the next full update makes up for it.
    pub(super) fn send_digest(&self, datagram: Datagram, to: Rc<[SocketAddr]>) {
        let outgoing = OutboundDatagram { datagram, to };
        if self.outbound.try_send(outgoing).is_err() {
            self.shared.metrics.count_dropped_digest();
        }
    }
}

fn log_limit(server: &Server, limit: Option<RequestRate>) {
    let incarnation = server.started.unwrap_or_default();
    match limit {
        Some(rate) => crate::event!(
            info,
            "server_limit_named",
            server = server.id,
            incarnation = incarnation,
            rate = rate
        ),
        None => crate::event!(
            info,
            "server_limit_ended",
            server = server.id,
            incarnation = incarnation
        ),
    }
}
