//! What is refused since it crashed backend servers, and what ends that.

use jujubewind::conviction::ConvictionChange;
use jujubewind::conviction::Prints;
use jujubewind::conviction::Suspect;
use jujubewind::direct::Core;
use jujubewind::direct::FleetChange;
use jujubewind::direct::JobId;
use jujubewind::direct::Outcome;
use jujubewind::direct::Verdict;
use jujubewind::refusal::Reason;

use crate::fixture::at;
use crate::fixture::core_of;
use crate::fixture::job;
use crate::fixture::server;
use crate::poison_parts::print;
use crate::poison_parts::restarted;

const SERVERS: usize = 15;
/// A part that all prompts share, a fatal one, and the first of those that belong to sessions.
const SHARED: u128 = 1;
const FATAL: u128 = 2;
const SESSIONS: u128 = 100;
/// In which the rules expect half of the sound requests to be served again after the last crash.
const SETTLING_MILLIS: u64 = 6_000;
/// In which a request that was convicted wrongly is served again.
const RECOVERY_MILLIS: u64 = 12_000;
const GAP_MILLIS: u64 = 400;
const ANSWER_MILLIS: u64 = 300;

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

/// Sends sound requests with these fingerprints, each served unless it is refused. Returns the times
/// of those that were refused.
fn refused_until(core: &mut Core, end: u64, prints: impl Fn(u64) -> Prints) -> Vec<u64> {
    let mut refused = Vec::new();
    for millis in (1_000..end).step_by(usize::try_from(GAP_MILLIS).expect("short")) {
        let prints = prints(millis);
        let verdict = core.admit(at(millis), job(millis, 1_000), prints.clone());
        let Some(Verdict::Place(placement)) = verdict else {
            refused.push(millis);
            continue;
        };
        let server = placement.primary.id.clone();
        let end = at(millis + ANSWER_MILLIS);
        core.finish(end, JobId(millis), &server, prints, Outcome::Served);
    }
    refused
}

#[test]
fn part_that_was_convicted_by_crashes_for_other_reasons_is_served_again() {
    let mut core = core_of("entry-1", SERVERS);
    for (number, millis) in (10..15).enumerate() {
        crash(&mut core, millis, number, &[SHARED]);
    }

    let refused = refused_until(&mut core, 20_000, |id| prints(id, &[SHARED]));

    assert!(!refused.is_empty());
    assert!(
        refused.iter().all(|at| *at < SETTLING_MILLIS),
        "{refused:?}"
    );
}

#[test]
fn request_that_was_convicted_by_crashes_for_other_reasons_is_served_again() {
    let mut core = core_of("entry-1", SERVERS);
    let same = |_| prints(7, &[]);
    for number in 0..3 {
        let name = server(number).id;
        core.finish(at(10), JobId(1), &name, same(0), Outcome::Broken);
    }

    let refused = refused_until(&mut core, 20_000, same);

    assert!(!refused.is_empty());
    assert!(
        refused.iter().all(|at| *at < RECOVERY_MILLIS),
        "{refused:?}"
    );
}

/// Each one that is sent ends its server; the one on trial is not repeated at another.
#[test]
fn fatal_request_is_tried_less_and_less_often() {
    let mut core = core_of("entry-1", SERVERS);
    let fatal = prints(7, &[FATAL]);
    let mut sent = Vec::new();
    let mut retry = None;

    for millis in (0..300_000).step_by(100) {
        for number in 0..SERVERS {
            let next = restarted(number, 1 + millis);
            core.apply_fleet_change(at(millis), FleetChange::Listed(next));
        }
        let verdict = core.admit(at(millis), job(millis, 1_000), fatal.clone());
        if let Some(Verdict::Place(placement)) = verdict {
            sent.push(millis);
            let server = placement.primary.id.clone();
            let outcome = Outcome::Broken;
            core.finish(at(millis), JobId(millis), &server, fatal.clone(), outcome);
            retry = core.readmit(at(millis), job(millis, 1_000), fatal.clone());
        }
    }

    assert!(matches!(retry, Some(Verdict::Refuse(_))), "{retry:?}");
    assert!(sent.len() <= 3 + 3, "{sent:?}");
}

/// Guards against convictions that are gone with the entries that knew them.
#[test]
fn what_crashed_three_servers_is_kept_and_refused_by_an_entry_that_reads_it() {
    let mut core = core_of("entry-1", SERVERS);
    let mut started = core_of("entry-2", SERVERS);
    for (number, millis) in (10..13).enumerate() {
        crash(&mut core, millis, number, &[FATAL]);
    }

    let kept = core.take_convictions(at(20));
    let suspects: Vec<Suspect> = kept
        .iter()
        .filter_map(|one| match one {
            ConvictionChange::Keep(suspect) => Some(suspect.clone()),
            ConvictionChange::Drop(_) => None,
        })
        .collect();
    started.restore_convictions(at(30), &suspects);

    let prints: Vec<_> = kept.iter().map(ConvictionChange::print).collect();
    assert_eq!(prints, [print(FATAL)]);
    assert!(core.take_convictions(at(40)).is_empty());
    assert!(is_refused(&mut started, 50, &[FATAL]));
}

/// Not each entry keeps what another one has told it.
#[test]
fn only_entries_at_a_crash_keep_its_conviction() {
    let mut core = core_of("entry-1", SERVERS);
    let mut other = core_of("entry-2", SERVERS);
    for (number, millis) in (10..13).enumerate() {
        crash(&mut core, millis, number, &[FATAL]);
    }
    let (_, suspects) = core.take_updates(at(20), false);

    other.restore_convictions(at(30), &suspects);

    assert!(is_refused(&mut other, 40, &[FATAL]));
    assert!(other.take_convictions(at(50)).is_empty());
}

#[test]
fn what_was_served_since_is_no_longer_kept() {
    let mut core = core_of("entry-1", SERVERS);
    for (number, millis) in (10..13).enumerate() {
        crash(&mut core, millis, number, &[SHARED]);
    }
    drop(core.take_convictions(at(20)));

    let name = server(5).id;
    let served = prints(1, &[SHARED]);
    core.finish(at(30), JobId(1), &name, served, Outcome::Served);

    let dropped = core.take_convictions(at(40));
    assert_eq!(dropped, [ConvictionChange::Drop(print(SHARED))]);
}

#[test]
fn a_conviction_is_kept_anew_before_the_store_forgets_it() {
    let mut core = core_of("entry-1", SERVERS);
    for (number, millis) in (10..13).enumerate() {
        crash(&mut core, millis, number, &[FATAL]);
    }
    drop(core.take_convictions(at(20)));

    core.expire(at(200_000));
    let early = core.take_convictions(at(200_000));
    core.expire(at(300_000));
    let due = core.take_convictions(at(300_000));

    assert!(early.is_empty(), "{early:?}");
    assert!(
        matches!(due.as_slice(), [ConvictionChange::Keep(_)]),
        "{due:?}"
    );
}
