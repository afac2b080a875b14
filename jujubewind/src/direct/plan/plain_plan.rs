//! Placing a call to a plain service.

use super::Candidate;
use super::Placement;
use super::limits::PLAIN_DEPTH;
use crate::scheduler::Work;
use crate::types::DomainId;

/// The least loaded candidate for its slots, in `domain` where the choice is free; `None` if all are full.
#[must_use]
pub fn place_plain(candidates: &[Candidate], domain: &DomainId) -> Option<Placement> {
    let has_room = |candidate: &&Candidate| {
        candidate.load.leads < candidate.server.slots.max(1).saturating_mul(PLAIN_DEPTH)
    };
    let cost = |candidate: &&Candidate| {
        let slots = candidate.server.slots.max(1);
        (
            candidate.load.leads / slots,
            candidate.server.domain != *domain,
            candidate.load.leads,
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
