//! The entry's shared state: asking, waiting, refusing, giving back.

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

use crate::fixture::at;
use crate::fixture::core;
use crate::fixture::job;
use crate::fixture::row;
use crate::fixture::server;

fn print(number: u128) -> Fingerprint {
    Fingerprint::from_number(number)
}

fn goes(verdict: Option<&Verdict>) -> bool {
    matches!(verdict, Some(Verdict::Go(_)))
}

fn reason(verdict: Option<Verdict>) -> Option<Reason> {
    match verdict {
        Some(Verdict::Refuse(refusal)) => Some(refusal.reason),
        _ => None,
    }
}

/// What a peer tells.
fn digest(rows: Vec<Row>, suspects: Vec<Suspect>) -> Digest {
    Digest {
        node: "entry-2".parse().expect("a name"),
        stamp: Stamp {
            life: Incarnation(1),
            number: 1,
        },
        rows,
        suspects,
    }
}

/// An entry whose only engine has all its slots taken by requests 1 to 16.
fn full() -> Core {
    let mut core = core(1);
    for id in 1..=16 {
        let verdict = core.ask(at(0), job(id, 1_000));
        core.mark_prefilled(JobId(id));
        assert!(goes(verdict.as_ref()), "request {id}: {verdict:?}");
    }
    core
}

#[test]
fn without_servers_a_request_is_refused_at_once() {
    let mut core = core(0);

    let verdict = core.ask(at(0), job(1, 5_000));

    assert_eq!(reason(verdict), Some(Reason::NoBackend));
}

#[test]
fn a_request_waits_for_a_slot_and_gets_the_one_that_is_given_back() {
    let mut core = full();

    let waits = core.ask(at(0), job(17, 1_000));
    let none = core.poll(at(20));
    core.finish(at(30), JobId(3), &server(0).id, print(3), Outcome::Served);
    let given = core.poll(at(40));

    assert_eq!(waits, None);
    assert!(none.is_empty());
    assert_eq!(given.len(), 1);
    assert_eq!(given[0].0, JobId(17));
    assert!(goes(Some(&given[0].1)));
}

#[test]
fn a_request_that_is_withdrawn_after_it_was_placed_gives_its_slot_back() {
    let mut core = full();
    core.ask(at(0), job(17, 1_000));

    core.withdraw(JobId(5));
    let given = core.poll(at(40));

    assert_eq!(given.len(), 1);
}

#[test]
fn a_request_is_refused_before_its_caller_loses_patience() {
    let mut core = full();
    core.ask(at(0), job(17, 1_000));

    let early = core.poll(at(1_500));
    let late = core.poll(at(1_700));

    assert!(early.is_empty());
    assert_eq!(
        reason(late.into_iter().next().map(|(_, verdict)| verdict)),
        Some(Reason::NoTime)
    );
}

#[test]
fn a_prompt_that_would_stop_everyone_else_is_refused_at_once() {
    let mut core = core(4);

    let verdict = core.ask(at(0), job(1, 900_000));

    assert_eq!(reason(verdict), Some(Reason::PromptTooLong));
}

/// Long prompts near and beyond what fourteen engines bear: no one waits for what will not come.
#[test]
fn under_a_burst_of_long_prompts_short_ones_still_go_at_once() {
    let mut core = core(14);
    for id in 0..12 {
        core.ask(
            at(id * 100),
            Job {
                arrived: at(id * 100),
                ..job(id + 1, 182_000)
            },
        );
    }

    let short = core.ask(
        at(1_200),
        Job {
            arrived: at(1_200),
            ..job(100, 5_000)
        },
    );

    assert!(goes(short.as_ref()), "{short:?}");
}

#[test]
fn a_request_that_crashed_three_servers_is_refused() {
    let mut core = core(4);
    for number in 0..3 {
        core.finish(
            at(0),
            JobId(90),
            &server(number).id,
            print(7),
            Outcome::Broken,
        );
    }

    let same = core.arrive(at(10), job(1, 5_000), print(7));
    let other = core.arrive(at(10), job(2, 5_000), print(8));

    assert_eq!(reason(same), Some(Reason::Convicted));
    assert!(goes(other.as_ref()));
}

#[test]
fn a_request_that_was_served_since_is_no_suspect() {
    let mut core = core(4);
    for number in 0..3 {
        core.finish(
            at(0),
            JobId(90),
            &server(number).id,
            print(7),
            Outcome::Broken,
        );
    }

    core.finish(at(5), JobId(91), &server(3).id, print(7), Outcome::Served);
    let again = core.arrive(at(10), job(1, 5_000), print(7));

    assert!(goes(again.as_ref()));
}

#[test]
fn connections_that_break_in_one_life_of_a_server_count_once() {
    let mut core = core(4);
    for _ in 0..5 {
        core.finish(at(0), JobId(90), &server(0).id, print(7), Outcome::Broken);
    }

    let again = core.arrive(at(10), job(1, 5_000), print(7));

    assert!(goes(again.as_ref()));
}

#[test]
fn peers_load_counts_and_is_told_back() {
    let mut mine = core(1);
    let mut theirs = full();

    let (rows, suspects) = theirs.news(at(0), false);
    mine.merge(at(0), digest(rows, suspects));

    assert_eq!(mine.ask(at(1), job(1, 1_000)), None);
}

#[test]
fn a_server_in_quarantine_is_used_only_if_there_is_no_other() {
    let mut core = core(2);
    for _ in 0..2 {
        core.finish(at(0), JobId(90), &server(0).id, print(1), Outcome::Silent);
    }

    let first = core.ask(at(1), job(1, 5_000));
    core.fleet(at(2), FleetChange::Removed(server(1).id));
    let second = core.ask(at(3), job(2, 5_000));

    let lead = |verdict: Option<Verdict>| match verdict {
        Some(Verdict::Go(placement)) => placement.primary.id.to_string(),
        other => format!("{other:?}"),
    };
    assert_eq!(lead(first), "s01");
    assert_eq!(lead(second), "s00");
}

#[test]
fn repeats_beyond_the_budget_are_not_granted() {
    let mut core = core(1);
    let service = server(0).service;

    let granted = (0..200)
        .filter(|_| core.take_retry(at(20_000), &service))
        .count();

    assert!(granted > 0);
    assert!(granted <= 100, "{granted}");
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let mut core = core(1);
    core.ask(at(0), job(1, 400_000));
    for id in 2..20 {
        core.ask(at(0), job(id, 150_000));
    }

    let verdict = core.ask(at(1), job(50, 150_000));

    let Some(Verdict::Refuse(refusal)) = verdict else {
        panic!("it is not refused: {verdict:?}");
    };
    assert!(refusal.retry >= Millis(200));
}

/// Short prompts that come back together after a restart, while long ones are being read.
#[test]
fn a_short_prompt_is_not_refused_for_what_long_ones_still_have_to_read() {
    let mut core = core(14);
    let rows = (0..10).map(|number| row(number, 3_000, 1)).collect();
    core.merge(at(0), digest(rows, Vec::new()));
    let mut refused = 0;

    for id in 10..40 {
        refused += usize::from(reason(core.ask(at(0), job(id, 5_000))).is_some());
    }

    assert_eq!(refused, 0);
}

/// A prompt that four engines read together for 3.6 s, which is of use within 10.8 s.
fn long() -> Job {
    Job {
        latency_target: Millis(8_000),
        client_timeout: Millis(12_000),
        ..job(100, 385_000)
    }
}

#[test]
fn a_prompt_that_cannot_be_read_in_its_time_is_refused_at_once() {
    let mut core = core(4);
    let rows = (0..4).map(|number| row(number, 8_000, 1)).collect();
    core.merge(at(0), digest(rows, Vec::new()));

    let verdict = core.ask(at(0), long());

    assert_eq!(reason(verdict), Some(Reason::NoTime));
}

#[test]
fn a_prompt_that_can_no_longer_be_read_in_its_time_stops_waiting() {
    let mut core = core(4);
    for id in 1..=64 {
        core.ask(at(0), job(id, 1_000));
        core.mark_prefilled(JobId(id));
    }
    let waits = core.ask(at(0), long());

    let early = core.poll(at(6_000));
    core.finish(
        at(7_900),
        JobId(1),
        &server(0).id,
        print(1),
        Outcome::Served,
    );
    let late = core.poll(at(8_000));

    assert_eq!(waits, None);
    assert!(early.is_empty());
    assert_eq!(late.len(), 1, "2.8 s are left");
    assert_eq!(reason(Some(late[0].1.clone())), Some(Reason::NoTime));
}
