//! A share of a backend server's limit.

use std::fmt::Display;

use super::limits::MIN_HELPER_RATE;
use super::limits::MIN_HOLDERS;
use super::limits::MIN_RATE;
use crate::limits::Micros;
use crate::types::NodeId;
use crate::types::RequestRate;

/// What one process may send to a server that has named a limit.
///
/// The limit holds for all processes together, also if none hears from the others, so it is divided
/// in advance: evenly among them, or among as many of them as it carries with one request at a time
/// each. Rendezvous hashing chooses those, other ones for each server. Nothing is exchanged for it
/// but the limit itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The processes that have a share.
    pub holders: u64,
    /// The holders before this one, whose first requests go before its own.
    pub place: u64,
    /// The requests a second of each.
    pub rate: RequestRate,
    /// The requests that may follow each other at once.
    pub burst: u64,
}

impl Share {
    /// The share of the process `node` among itself and its `peers`; `None` if it has none.
    #[must_use]
    pub fn of<'a>(
        limit: RequestRate,
        server: &impl Display,
        node: &NodeId,
        peers: impl ExactSizeIterator<Item = &'a NodeId>,
    ) -> Option<Self> {
        let count = u64::try_from(peers.len()).unwrap_or(u64::MAX);
        let holders = count
            .saturating_add(1)
            .min(limit.per_second().saturating_add(MIN_HOLDERS));
        let own = rank(server, node);
        let ahead = peers.filter(|peer| rank(server, peer) < own).count();
        let place = u64::try_from(ahead).unwrap_or(u64::MAX);
        (place < holders).then(|| Self::new(limit, holders, place))
    }

    /// The whole limit of a server that only one process sends to.
    #[must_use]
    pub fn whole(limit: RequestRate) -> Self {
        Self::new(limit, 1, 0)
    }

    /// The same share with requests at even intervals only.
    #[must_use]
    pub const fn paced(self) -> Self {
        Self { burst: 1, ..self }
    }

    fn new(limit: RequestRate, holders: u64, place: u64) -> Self {
        let spare = limit.per_second().saturating_add(MIN_HOLDERS - 1);
        Self {
            holders,
            place,
            rate: RequestRate::from_milli(limit.max(MIN_RATE).milli() / holders),
            burst: (spare / holders).max(1),
        }
    }

    /// Whether the share carries the orders that keep memory reserved.
    #[must_use]
    pub fn carries_orders(&self) -> bool {
        self.rate >= MIN_HELPER_RATE
    }

    /// The time between two requests.
    pub(super) fn interval(&self) -> Micros {
        Micros::between(self.rate)
    }

    /// When the first request is due, so that those of all holders are spread over an interval.
    pub(super) fn offset(&self) -> Micros {
        Micros(self.interval().get() / self.holders * (self.place + 1))
    }

    /// How much earlier than at even intervals requests may follow each other.
    pub(super) fn tolerance(&self) -> Micros {
        Micros(self.interval().get().saturating_mul(self.burst - 1))
    }
}

/// The place of a process in the order in which processes get a share of the server's limit.
fn rank(server: &impl Display, node: &NodeId) -> u64 {
    let pair = format!("{server} {node}");
    rapidhash::v3::rapidhash_v3(pair.as_bytes())
}
