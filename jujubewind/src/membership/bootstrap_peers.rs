//! Configured peer addresses that are not yet matched to a known member.

use std::net::SocketAddr;

use super::Member;
use super::View;
use super::limits::FANOUT;
use super::limits::RECONTACT_PERIODS;

/// Configured entry addresses, probed round-robin: every period while no other entry is known, and
/// every [`RECONTACT_PERIODS`] afterwards.
#[derive(Clone, Debug)]
pub(super) struct BootstrapPeers {
    addrs: Vec<SocketAddr>,
    periods: usize,
}

impl BootstrapPeers {
    /// Creates the list from the addresses in the settings.
    pub(super) fn new(addrs: &[SocketAddr]) -> Self {
        Self {
            addrs: addrs.to_vec(),
            periods: 0,
        }
    }

    /// Returns the addresses to probe in this period.
    pub(super) fn tick(&mut self, view: &View, me: &Member) -> Vec<SocketAddr> {
        self.periods = self.periods.wrapping_add(1);
        let is_peer = |entry: &Member| entry.node != me.node && !entry.is_provisional();
        let is_alone = !view.entries().any(is_peer);
        let (count, turn) = match (is_alone, self.periods % RECONTACT_PERIODS) {
            (true, _) => (FANOUT, self.periods),
            (false, 0) => (1, self.periods / RECONTACT_PERIODS),
            (false, _) => return Vec::new(),
        };
        let unknown: Vec<SocketAddr> = self
            .addrs
            .iter()
            .filter(|addr| view.by_addr(**addr).is_none())
            .copied()
            .collect();
        let start = turn * count % unknown.len().max(1);
        let rotated = unknown.iter().cycle().skip(start);
        rotated.take(count.min(unknown.len())).copied().collect()
    }
}
