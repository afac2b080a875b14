//! The cases.

mod endless_listing;
mod foreign_answer;
mod revoked_key;
mod shared_part;

use crate::Outcome;

/// Plays the case with this name.
pub fn play(case: &str, trouble: bool) -> Outcome {
    match case {
        "endless_listing" => endless_listing::play(trouble),
        "foreign_answer" => foreign_answer::play(trouble),
        "revoked_key" => revoked_key::play(trouble),
        "shared_part" => shared_part::play(trouble),
        _ => Err(format!("there is no case {case}")),
    }
}
