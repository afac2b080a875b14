//! The scheduling state of an entry: placing, queueing, refusing and releasing.

use jujubewind::conviction::Fingerprint;
use jujubewind::conviction::Suspect;
use jujubewind::direct::Core;
use jujubewind::direct::Digest;
use jujubewind::direct::FleetChange;
use jujubewind::direct::Job;
use jujubewind::direct::JobId;
use jujubewind::direct::Outcome;
use jujubewind::direct::Row;
use jujubewind::direct::Stamp;
use jujubewind::direct::Verdict;
use jujubewind::refusal::Reason;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::Revision;

use crate::fixture::at;
use crate::fixture::core;
use crate::fixture::job;
use crate::fixture::row;
use crate::fixture::server;

fn fingerprint(number: u128) -> Fingerprint {
    Fingerprint::from_number(number)
}

fn is_placed(verdict: Option<&Verdict>) -> bool {
    matches!(verdict, Some(Verdict::Place(_)))
}

fn reason(verdict: Option<Verdict>) -> Option<Reason> {
    match verdict {
        Some(Verdict::Refuse(refusal)) => Some(refusal.reason),
        _ => None,
    }
}

/// A digest from a peer.
fn digest(rows: Vec<Row>, suspects: Vec<Suspect>) -> Digest {
    Digest {
        node: "entry-2".parse().expect("a name"),
        stamp: Stamp {
            life: Incarnation(1),
            number: 1,
        },
        rows,
        suspects,
        notices: Vec::new(),
        newest: Revision::ZERO,
    }
}

/// An entry whose only engine has all its slots taken by requests 1 to 16.
fn full() -> Core {
    let mut core = core(1);
    for id in 1..=16 {
        let verdict = core.place_or_queue(at(0), job(id, 1_000));
        core.mark_prefilled(JobId(id));
        assert!(is_placed(verdict.as_ref()), "request {id}: {verdict:?}");
    }
    core
}

#[test]
fn request_is_refused_at_once_without_servers() {
    let mut core = core(0);

    let verdict = core.place_or_queue(at(0), job(1, 5_000));

    assert_eq!(reason(verdict), Some(Reason::NoBackend));
}

#[test]
fn queued_request_gets_a_released_slot() {
    let mut core = full();

    let waits = core.place_or_queue(at(0), job(17, 1_000));
    let none = core.poll(at(20));
    core.finish(
        at(30),
        JobId(3),
        &server(0).id,
        fingerprint(3),
        Outcome::Served,
    );
    let given = core.poll(at(40));

    assert_eq!(waits, None);
    assert!(none.is_empty());
    assert_eq!(given.len(), 1);
    assert_eq!(given[0].0, JobId(17));
    assert!(is_placed(Some(&given[0].1)));
}

#[test]
fn request_withdrawn_after_placement_releases_its_slot() {
    let mut core = full();
    core.place_or_queue(at(0), job(17, 1_000));

    core.withdraw(JobId(5));
    let given = core.poll(at(40));

    assert_eq!(given.len(), 1);
}

#[test]
fn queued_request_is_refused_before_the_client_timeout() {
    let mut core = full();
    core.place_or_queue(at(0), job(17, 1_000));

    let early = core.poll(at(1_500));
    let late = core.poll(at(1_700));

    assert!(early.is_empty());
    assert_eq!(
        reason(late.into_iter().next().map(|(_, verdict)| verdict)),
        Some(Reason::NoTime)
    );
}

#[test]
fn prompt_that_would_block_the_fleet_is_refused_at_once() {
    let mut core = core(4);

    let verdict = core.place_or_queue(at(0), job(1, 900_000));

    assert_eq!(reason(verdict), Some(Reason::PromptTooLong));
}

/// Long prompts near and beyond the capacity of fourteen engines must not delay short ones.
#[test]
fn short_prompt_is_placed_at_once_during_a_burst_of_long_ones() {
    let mut core = core(14);
    for id in 0..12 {
        core.place_or_queue(
            at(id * 100),
            Job {
                arrived: at(id * 100),
                ..job(id + 1, 182_000)
            },
        );
    }

    let short = core.place_or_queue(
        at(1_200),
        Job {
            arrived: at(1_200),
            ..job(100, 5_000)
        },
    );

    assert!(is_placed(short.as_ref()), "{short:?}");
}

#[test]
fn request_that_crashed_three_servers_is_refused() {
    let mut core = core(4);
    for number in 0..3 {
        core.finish(
            at(0),
            JobId(90),
            &server(number).id,
            fingerprint(7),
            Outcome::Broken,
        );
    }

    let same = core.admit(at(10), job(1, 5_000), fingerprint(7));
    let other = core.admit(at(10), job(2, 5_000), fingerprint(8));

    assert_eq!(reason(same), Some(Reason::Convicted));
    assert!(is_placed(other.as_ref()));
}

#[test]
fn success_clears_a_suspected_request() {
    let mut core = core(4);
    for number in 0..3 {
        core.finish(
            at(0),
            JobId(90),
            &server(number).id,
            fingerprint(7),
            Outcome::Broken,
        );
    }

    core.finish(
        at(5),
        JobId(91),
        &server(3).id,
        fingerprint(7),
        Outcome::Served,
    );
    let again = core.admit(at(10), job(1, 5_000), fingerprint(7));

    assert!(is_placed(again.as_ref()));
}

#[test]
fn broken_connections_to_one_server_incarnation_count_once() {
    let mut core = core(4);
    for _ in 0..5 {
        core.finish(
            at(0),
            JobId(90),
            &server(0).id,
            fingerprint(7),
            Outcome::Broken,
        );
    }

    let again = core.admit(at(10), job(1, 5_000), fingerprint(7));

    assert!(is_placed(again.as_ref()));
}

#[test]
fn load_of_a_peer_prevents_placement() {
    let mut mine = core(1);
    let mut theirs = full();

    let (rows, suspects) = theirs.take_updates(at(0), false);
    mine.merge(at(0), digest(rows, suspects));

    assert_eq!(mine.place_or_queue(at(1), job(1, 1_000)), None);
}

#[test]
fn quarantined_server_is_used_only_if_there_is_no_other() {
    let mut core = core(2);
    for _ in 0..2 {
        core.finish(
            at(0),
            JobId(90),
            &server(0).id,
            fingerprint(1),
            Outcome::Silent,
        );
    }

    let first = core.place_or_queue(at(1), job(1, 5_000));
    core.apply_fleet_change(at(2), FleetChange::Removed(server(1).id));
    let second = core.place_or_queue(at(3), job(2, 5_000));

    let primary = |verdict: Option<Verdict>| match verdict {
        Some(Verdict::Place(placement)) => placement.primary.id.to_string(),
        other => format!("{other:?}"),
    };
    assert_eq!(primary(first), "s01");
    assert_eq!(primary(second), "s00");
}

#[test]
fn retries_beyond_the_budget_are_not_granted() {
    let mut core = core(1);
    let service = server(0).service;

    let granted = (0..200)
        .filter(|_| core.take_retry(at(20_000), &service))
        .count();

    assert!(granted > 0);
    assert!(granted <= 100, "{granted}");
}

#[test]
fn refusal_has_a_retry_delay() {
    let mut core = core(1);
    core.place_or_queue(at(0), job(1, 400_000));
    for id in 2..20 {
        core.place_or_queue(at(0), job(id, 150_000));
    }

    let verdict = core.place_or_queue(at(1), job(50, 150_000));

    let Some(Verdict::Refuse(refusal)) = verdict else {
        panic!("it is not refused: {verdict:?}");
    };
    assert!(refusal.retry >= Millis(200));
}

/// Short prompts that are retried together after a restart, while long ones are being prefilled.
#[test]
fn short_prompt_is_not_refused_because_of_prefill_backlog() {
    let mut core = core(14);
    let rows = (0..10).map(|number| row(number, 3_000, 1)).collect();
    core.merge(at(0), digest(rows, Vec::new()));
    let mut refused = 0;

    for id in 10..40 {
        refused += usize::from(reason(core.place_or_queue(at(0), job(id, 5_000))).is_some());
    }

    assert_eq!(refused, 0);
}

/// A prompt that takes four engines 3.6 s to prefill and must have its first token within 10.8 s.
fn long() -> Job {
    Job {
        latency_target: Millis(8_000),
        client_timeout: Millis(12_000),
        ..job(100, 385_000)
    }
}

#[test]
fn prompt_that_would_miss_its_first_token_deadline_is_refused_at_once() {
    let mut core = core(4);
    let rows = (0..4).map(|number| row(number, 8_000, 1)).collect();
    core.merge(at(0), digest(rows, Vec::new()));

    let verdict = core.place_or_queue(at(0), long());

    assert_eq!(reason(verdict), Some(Reason::NoTime));
}

#[test]
fn queued_prompt_that_can_no_longer_meet_its_deadline_is_refused() {
    let mut core = core(4);
    for id in 1..=64 {
        core.place_or_queue(at(0), job(id, 1_000));
        core.mark_prefilled(JobId(id));
    }
    let waits = core.place_or_queue(at(0), long());

    let early = core.poll(at(6_000));
    core.finish(
        at(7_900),
        JobId(1),
        &server(0).id,
        fingerprint(1),
        Outcome::Served,
    );
    let late = core.poll(at(8_000));

    assert_eq!(waits, None);
    assert!(early.is_empty());
    assert_eq!(late.len(), 1, "2.8 s are left");
    assert_eq!(reason(Some(late[0].1.clone())), Some(Reason::NoTime));
}
