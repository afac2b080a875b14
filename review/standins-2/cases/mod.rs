//! The cases.

mod endless_streams;
mod fatal_pair;
mod fractional_bound;
mod large_bodies;
mod repeated_crashes;
mod revoked_key;

use std::path::Path;

use crate::case::Result;
use crate::case::Verdict;

/// Plays the case `name`, which writes its record to `folder`.
pub fn play(name: &str, folder: &Path) -> Result<Verdict> {
    match name {
        "endless-streams" => endless_streams::play(folder),
        "fatal-pair" => fatal_pair::play(folder),
        "fractional-bound" => fractional_bound::play(folder),
        "large-bodies" => large_bodies::play(folder),
        "last-tenant" => revoked_key::play(folder, revoked_key::Change::LastTenant),
        "herd-kill" => repeated_crashes::play(folder, repeated_crashes::Disturbance::HerdKill),
        "lost-registration" => {
            repeated_crashes::play(folder, repeated_crashes::Disturbance::LateRegistration)
        }
        "unreadable-version" => revoked_key::play(folder, revoked_key::Change::Newcomer),
        _ => Err(format!("there is no case {name}")),
    }
}
