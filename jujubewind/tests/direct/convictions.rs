//! What is refused since it crashed backend servers, and what ends that.

use jujubewind::conviction::Prints;
use jujubewind::direct::Core;
use jujubewind::direct::JobId;
use jujubewind::direct::Outcome;
use jujubewind::direct::Verdict;
use jujubewind::refusal::Reason;

use crate::fixture::at;
use crate::fixture::core_of;
use crate::fixture::job;
use crate::fixture::server;
use crate::poison_parts::print;

const SERVERS: usize = 15;
/// A part that all prompts share, a fatal one, and the first of those that belong to sessions.
const SHARED: u128 = 1;
const FATAL: u128 = 2;
const SESSIONS: u128 = 100;

/// The fingerprints of the request `id` with these shared parts.
fn prints(id: u64, parts: &[u128]) -> Prints {
    Prints {
        request: print(1_000_000 + u128::from(id)),
        parts: parts.iter().copied().map(print).collect(),
    }
}

/// A server crashes while it begins to answer a request with these shared parts.
fn crash(core: &mut Core, millis: u64, number: usize, parts: &[u128]) {
    let prints = prints(millis, parts);
    let name = server(number).id;
    core.finish(at(millis), JobId(millis), &name, prints, Outcome::Broken);
}

/// Whether a new request with these shared parts is refused for its content.
fn is_refused(core: &mut Core, millis: u64, parts: &[u128]) -> bool {
    let prints = prints(millis, parts);
    match core.admit(at(millis), job(millis, 1_000), prints) {
        Some(Verdict::Refuse(refusal)) => refusal.reason == Reason::Convicted,
        _ => false,
    }
}

#[test]
fn sound_prompts_are_served_after_one_crash_that_the_fatal_part_does_not_explain() {
    let mut core = core_of("entry-1", SERVERS);
    for (number, millis) in (10..13).enumerate() {
        crash(&mut core, millis, number, &[SHARED, FATAL]);
    }

    crash(&mut core, 20, 3, &[SHARED]);

    assert!(!is_refused(&mut core, 30, &[SHARED]));
    assert!(is_refused(&mut core, 40, &[SHARED, FATAL]));
}

/// The sessions explain the crashes as well, but none of them all but two.
#[test]
fn fatal_part_is_refused_in_every_session() {
    let mut core = core_of("entry-1", SERVERS);

    for (number, millis) in (10..16).enumerate() {
        let session = SESSIONS + u128::from(number >= 3);
        crash(&mut core, millis, number, &[FATAL, session]);
    }

    assert!(is_refused(&mut core, 30, &[FATAL, SESSIONS + 2]));
}
