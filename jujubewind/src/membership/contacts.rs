//! Addresses from the settings whose processes are not known yet.

use std::net::SocketAddr;

use super::Member;
use super::View;
use super::limits::FANOUT;
use super::limits::RECONTACT;

/// The addresses, tried in turn: often while no entry is known, seldom afterwards.
#[derive(Clone, Debug)]
pub(super) struct Contacts {
    addrs: Vec<SocketAddr>,
    periods: usize,
}

impl Contacts {
    /// Starts with the addresses that the settings name.
    pub(super) fn new(addrs: &[SocketAddr]) -> Self {
        Self {
            addrs: addrs.to_vec(),
            periods: 0,
        }
    }

    /// The addresses to ask in this period.
    pub(super) fn tick(&mut self, view: &View, me: &Member) -> Vec<SocketAddr> {
        self.periods = self.periods.wrapping_add(1);
        let is_peer = |entry: &Member| entry.node != me.node && !entry.is_provisional();
        let is_alone = !view.entries().any(is_peer);
        let (count, turn) = match (is_alone, self.periods % RECONTACT) {
            (true, _) => (FANOUT, self.periods),
            (false, 0) => (1, self.periods / RECONTACT),
            (false, _) => return Vec::new(),
        };
        let strangers: Vec<SocketAddr> = self
            .addrs
            .iter()
            .filter(|addr| view.by_addr(**addr).is_none())
            .copied()
            .collect();
        let start = turn * count % strangers.len().max(1);
        let turned = strangers.iter().cycle().skip(start);
        turned.take(count.min(strangers.len())).copied().collect()
    }
}
