//! This entry's shares of the limits that backend servers have named.

use std::rc::Rc;

use super::Core;
use super::hold::Hold;
use crate::direct::Job;
use crate::direct::Server;
use crate::direct::ServerId;
use crate::pace::Share;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::RequestRate;

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLI_PER_REQUEST: u64 = 1_000;

impl Core {
    /// How the limits of the servers hold a request back, after the queued ones that go before it.
    pub(super) fn hold(&self, now: MonoTime, job: &Job) -> Hold {
        let (mut own_milli, mut total_milli, mut shortest) = (0, 0, None);
        for server in self.permitted(now, job) {
            let Some(limit) = self.limit_in_force(now, server) else {
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
        let limit = server.and_then(|server| self.limit_in_force(now, server));
        let Some((server, limit)) = server.zip(limit) else {
            self.paces.lift(id);
            return;
        };
        // Before the other entries are known, its share cannot be told from the whole limit.
        let share = if self.has_peers_listed {
            Share::of(limit, id, &self.settings.node, self.peers.iter())
        } else {
            None
        };
        let is_named = self.notices.limit(server) == Some(limit);
        let share = share.filter(|_| is_named).or(share.map(Share::paced));
        if self.paces.limit(now, id, share) && is_named {
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

    /// The requests a second that a server takes from all entries together: what it has named, and what
    /// it endures while it is cold.
    fn limit_in_force(&self, now: MonoTime, server: &Server) -> Option<RequestRate> {
        let cold = self
            .cold_limit(&server.service)
            .filter(|_| self.cold.is_cold(now, server))
            .map(|cold| cold.rate);
        [self.notices.limit(server), cold]
            .into_iter()
            .flatten()
            .min()
    }

    /// Records whether a listed server is cold, as it says itself.
    pub(super) fn record_cold(&mut self, now: MonoTime, id: &ServerId) {
        let Some(server) = self.roster.get(id).cloned() else {
            return;
        };
        if self.cold.record(now, &server, server.cold_left) {
            log_cold(&server, server.cold_left);
        }
    }

    /// Takes the servers of a domain for cold: they had no requests.
    pub(super) fn assume_cold(&mut self, now: MonoTime, domain: &DomainId) {
        let is_there = |server: &&Rc<Server>| server.domain == *domain;
        let servers: Vec<_> = self.roster.iter().filter(is_there).cloned().collect();
        for server in servers {
            let Some(limit) = self.cold_limit(&server.service) else {
                continue;
            };
            if self.cold.record(now, &server, limit.span) {
                log_cold(&server, limit.span);
            }
            self.refresh_limit(now, &server.id);
        }
    }

    /// Applies this entry's share of every limit anew after the entries have changed.
    pub(super) fn refresh_limits(&mut self, now: MonoTime) {
        let limited: Vec<ServerId> = self.paces.limited().cloned().collect();
        for id in limited {
            self.refresh_limit(now, &id);
        }
    }

    /// Applies the limits of all servers anew.
    pub(super) fn refresh_all_limits(&mut self, now: MonoTime) {
        let all: Vec<ServerId> = self.roster.iter().map(|server| server.id.clone()).collect();
        for id in all {
            self.refresh_limit(now, &id);
        }
    }

    /// The number of requests for which a server's limit left no room, since the last call.
    pub fn take_held(&mut self) -> u64 {
        std::mem::take(&mut self.held)
    }
}

fn log_cold(server: &Server, left: Millis) {
    if left > Millis::ZERO {
        crate::event!(info, "server_cold", server = server.id, left = left);
    } else {
        crate::event!(info, "server_warm", server = server.id);
    }
}

/// The time in which servers that take `milli` thousandths of a request a second take `count`.
fn time_for(count: u64, milli: u64) -> Millis {
    let span = count.saturating_mul(MILLIS_PER_SECOND * MILLI_PER_REQUEST);
    Millis(span.div_ceil(milli.max(1)))
}
