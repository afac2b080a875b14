//! This entry's shares of the limits that backend servers have named.

use super::Core;
use super::hold::Hold;
use crate::direct::Job;
use crate::direct::ServerId;
use crate::pace::Share;
use crate::types::Millis;
use crate::types::MonoTime;

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLI_PER_REQUEST: u64 = 1_000;

impl Core {
    /// How the limits of the servers hold a request back, after the queued ones that go before it.
    pub(super) fn hold(&self, now: MonoTime, job: &Job) -> Hold {
        let (mut own_milli, mut total_milli, mut shortest) = (0, 0, None);
        for server in self.permitted(now, job) {
            let Some(limit) = self.notices.limit(server) else {
                return Hold::Free;
            };
            total_milli += limit.milli();
            let (Some(share), Some(wait)) = (
                self.paces.share(&server.id),
                self.paces.wait(now, &server.id),
            ) else {
                continue;
            };
            own_milli += share.rate.milli();
            let wait = wait.max(self.notices.pause(now, &server.id));
            shortest = Some(shortest.unwrap_or(wait).min(wait));
        }
        let Some(shortest) = shortest else {
            return Hold::Elsewhere(time_for(1, total_milli));
        };
        let ahead = self.queue.before(now, job).count();
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        match shortest.saturating_add(time_for(ahead, own_milli)) {
            Millis::ZERO => Hold::Free,
            wait => Hold::Wait(wait),
        }
    }

    /// Counts an order to a server, which may not wait, against its limit.
    pub fn record_order(&mut self, now: MonoTime, server: &ServerId) {
        self.paces.record(now, server);
    }

    /// Applies this entry's share of the limit that a server has named, or lifts it.
    pub(super) fn refresh_limit(&mut self, now: MonoTime, id: &ServerId) {
        let server = self.roster.get(id);
        let Some(limit) = server.and_then(|server| self.notices.limit(server)) else {
            self.paces.lift(id);
            return;
        };
        // Before the other entries are known, its share cannot be told from the whole limit.
        let share = if self.has_peers_listed {
            Share::of(limit, id, &self.settings.node, self.peers.iter())
        } else {
            None
        };
        if self.paces.limit(now, id, share) {
            crate::event!(
                info,
                "server_limit_shared",
                server = id,
                limit = limit,
                entries = self.peers.len() + 1,
                holders = share.map_or(0, |share| share.holders),
                rate = share.map(|share| share.rate).unwrap_or_default(),
                burst = share.map_or(0, |share| share.burst)
            );
        }
    }

    /// Applies this entry's share of every limit anew.
    pub(super) fn refresh_limits(&mut self, now: MonoTime) {
        let limited: Vec<ServerId> = self.notices.limited().cloned().collect();
        for id in limited {
            self.refresh_limit(now, &id);
        }
    }

    /// The number of requests for which a server's limit left no room, since the last call.
    pub fn take_held(&mut self) -> u64 {
        std::mem::take(&mut self.held)
    }
}

/// The time in which servers that take `milli` thousandths of a request a second take `count`.
fn time_for(count: u64, milli: u64) -> Millis {
    let span = count.saturating_mul(MILLIS_PER_SECOND * MILLI_PER_REQUEST);
    Millis(span.div_ceil(milli.max(1)))
}
