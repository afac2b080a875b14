//! The cases.

mod fatal_pair;
mod large_bodies;
mod repeated_crashes;
mod unreadable_version;

use std::path::Path;

use crate::case::Play;
use crate::case::Result;
use crate::case::Verdict;

/// Plays the case `name` and writes its record.
pub fn play(name: &str, trouble: &str, record: &Path) -> Result<Verdict> {
    let play = &Play { trouble, record };
    match name {
        "fatal-pair" => fatal_pair::play(play),
        "large-bodies" => large_bodies::play(play),
        "herd-kill" => repeated_crashes::play(play, repeated_crashes::Disturbance::HerdKill),
        "lost-registration" => {
            repeated_crashes::play(play, repeated_crashes::Disturbance::LateRegistration)
        }
        "unreadable-version" => unreadable_version::play(play),
        _ => Err(format!("there is no case {name}")),
    }
}
