//! This entry's share of a backend server's limit.

use super::limits::MIN_HELPER_RATE;
use super::limits::MIN_HOLDERS;
use super::limits::MIN_RATE;
use crate::direct::ServerId;
use crate::types::NodeId;
use crate::types::RequestRate;

const MICROS_PER_SECOND: u64 = 1_000_000;
const MILLI_PER_REQUEST: u64 = 1_000;

/// What one entry may send to a server that has named a limit.
///
/// The limit holds for all entries together, also if none hears from the others, so it is divided
/// in advance: evenly among the entries, or among as many of them as it carries with one request
/// at a time each. Rendezvous hashing chooses those, other ones for each server. Nothing is
/// exchanged for it but the limit itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The entries that have a share.
    pub holders: u64,
    /// The holders before this one, whose first requests go before its own.
    pub place: u64,
    /// The requests a second of each.
    pub rate: RequestRate,
    /// The requests that may follow each other at once.
    pub burst: u64,
}

impl Share {
    /// The share of the entry `node` among itself and its `peers`; `None` if it has none.
    #[must_use]
    pub fn of<'a>(
        limit: RequestRate,
        server: &ServerId,
        node: &NodeId,
        peers: impl ExactSizeIterator<Item = &'a NodeId>,
    ) -> Option<Self> {
        let entries = u64::try_from(peers.len()).unwrap_or(u64::MAX) + 1;
        let holders = entries.min(limit.per_second().saturating_add(MIN_HOLDERS));
        let own = rank(server, node);
        let ahead = peers.filter(|peer| rank(server, peer) < own).count();
        let place = u64::try_from(ahead).unwrap_or(u64::MAX);
        if place >= holders {
            return None;
        }
        let spare = limit.per_second().saturating_add(MIN_HOLDERS - 1);
        Some(Self {
            holders,
            place,
            rate: RequestRate::from_milli(limit.max(MIN_RATE).milli() / holders),
            burst: (spare / holders).max(1),
        })
    }

    /// Whether the share carries the orders that keep memory reserved.
    #[must_use]
    pub fn carries_orders(&self) -> bool {
        self.rate >= MIN_HELPER_RATE
    }

    /// The time between two requests, in microseconds.
    pub(super) const fn interval_micros(&self) -> u64 {
        MICROS_PER_SECOND * MILLI_PER_REQUEST / self.rate.milli()
    }

    /// When the first request is due, in microseconds, so that those of all holders are spread over an
    /// interval.
    pub(super) const fn offset_micros(&self) -> u64 {
        self.interval_micros() / self.holders * (self.place + 1)
    }

    /// How long requests may come earlier than at even intervals, in microseconds.
    pub(super) const fn lead_micros(&self) -> u64 {
        self.interval_micros().saturating_mul(self.burst - 1)
    }
}

/// The place of an entry in the order in which entries get a share of the server's limit.
fn rank(server: &ServerId, node: &NodeId) -> u64 {
    let pair = format!("{server} {node}");
    rapidhash::v3::rapidhash_v3(pair.as_bytes())
}
