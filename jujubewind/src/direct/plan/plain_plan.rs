//! Placement of a call to a plain service.

use super::Candidate;
use super::Placement;
use super::limits::REQUESTS_PER_SLOT;
use crate::scheduler::Work;
use crate::types::DomainId;

/// The candidate with the fewest requests for each slot, preferably in `domain` and one that asked no
/// peer for a pause; `None` if all are full.
#[must_use]
pub fn place_plain(candidates: &[Candidate], domain: &DomainId) -> Option<Placement> {
    let has_room = |candidate: &&Candidate| {
        candidate.load.requests
            < candidate
                .server
                .slots
                .max(1)
                .saturating_mul(REQUESTS_PER_SLOT)
    };
    let cost = |candidate: &&Candidate| {
        let slots = candidate.server.slots.max(1);
        (
            candidate.strained,
            candidate.load.requests / slots,
            candidate.server.domain != *domain,
            candidate.load.requests,
        )
    };
    let best = candidates.iter().filter(has_room).min_by_key(cost)?;
    Some(Placement {
        primary: best.server.clone(),
        helpers: Vec::new(),
        part: Work::ZERO,
        first_token: Work::ZERO,
    })
}
