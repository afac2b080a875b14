//! The load on backend servers from this entry and its peers.

use jujubewind::direct::JobId;
use jujubewind::direct::Ledger;
use jujubewind::direct::Stamp;
use jujubewind::scheduler::Work;
use jujubewind::types::Incarnation;
use jujubewind::types::NodeId;
use jujubewind::types::Tokens;

use crate::fixture::assignment;
use crate::fixture::at;
use crate::fixture::row;
use crate::fixture::server;

fn peer() -> NodeId {
    "entry-2".parse().expect("a name")
}

fn stamp(life: u64, number: u64) -> Stamp {
    Stamp {
        life: Incarnation(life),
        number,
    }
}

#[test]
fn own_and_peer_load_add_up() {
    let mut ledger = Ledger::default();
    let id = server(0).id;

    ledger.assign(&id, assignment(1, 30, true));
    ledger.merge(at(0), &peer(), stamp(1, 1), vec![row(0, 50, 2)]);

    let load = ledger.load(at(0), &id);
    assert_eq!((load.backlog, load.requests), (Work(80_000), 3));
}

#[test]
fn prefilled_prompt_has_no_backlog_and_frees_its_helpers() {
    let mut ledger = Ledger::default();
    let (primary, helper) = (server(0).id, server(1).id);
    ledger.assign(&primary, assignment(1, 30, true));
    ledger.assign(&helper, assignment(1, 30, false));

    ledger.mark_prefilled(JobId(1));

    assert_eq!(ledger.load(at(0), &primary).backlog, Work::ZERO);
    assert_eq!(ledger.load(at(0), &primary).requests, 1);
    assert_eq!(ledger.jobs(&helper).count(), 0);
}

#[test]
fn helper_with_reserved_memory_keeps_it_until_release() {
    let mut ledger = Ledger::default();
    let helper = server(1).id;
    let mut part = assignment(1, 30, false);
    part.memory = Tokens(200_000);
    ledger.assign(&helper, part);

    ledger.mark_prefilled(JobId(1));
    let held = ledger.load(at(0), &helper).memory;
    ledger.release(JobId(1));

    assert_eq!(held, Tokens(200_000));
    assert_eq!(ledger.load(at(0), &helper).memory, Tokens::ZERO);
}

#[test]
fn engine_is_free_after_its_own_part_while_others_still_prefill() {
    let mut ledger = Ledger::default();
    let (primary, helper) = (server(0).id, server(1).id);
    ledger.assign(&primary, assignment(1, 9_000, true));
    ledger.assign(&helper, assignment(1, 1_000, false));

    let halfway = ledger.load(at(500), &helper).backlog;
    let late = ledger.load(at(1_200), &helper).backlog;
    let done = ledger.load(at(2_000), &helper).backlog;

    assert_eq!(halfway, Work(500_000));
    assert!(late > Work::ZERO, "the prediction may be too short");
    assert_eq!(done, Work::ZERO);
    assert_eq!(ledger.load(at(2_000), &primary).backlog, Work(7_000_000));
}

#[test]
fn backlog_of_a_peer_shrinks_over_time() {
    let mut ledger = Ledger::default();
    let id = server(0).id;

    ledger.merge(at(0), &peer(), stamp(1, 1), vec![row(0, 900, 1)]);

    assert_eq!(ledger.load(at(400), &id).backlog, Work(500_000));
    assert_eq!(ledger.load(at(1_000), &id).backlog, Work::ZERO);
}

#[test]
fn late_digest_does_not_overwrite_a_newer_one() {
    let mut ledger = Ledger::default();

    ledger.merge(at(0), &peer(), stamp(1, 2), vec![row(0, 0, 0)]);
    ledger.merge(at(1), &peer(), stamp(1, 1), vec![row(0, 90, 5)]);

    assert_eq!(ledger.load(at(1), &server(0).id).requests, 0);
}

#[test]
fn restarted_peer_has_no_load() {
    let mut ledger = Ledger::default();

    ledger.merge(at(0), &peer(), stamp(1, 900), vec![row(0, 90, 5)]);
    ledger.merge(at(1), &peer(), stamp(2, 1), vec![]);

    assert_eq!(ledger.load(at(1), &server(0).id).requests, 0);
}

#[test]
fn silent_peer_no_longer_counts() {
    let mut ledger = Ledger::default();

    ledger.merge(at(0), &peer(), stamp(1, 1), vec![row(0, 90, 5)]);

    assert_eq!(ledger.load(at(1_000), &server(0).id).requests, 5);
    assert_eq!(ledger.load(at(2_500), &server(0).id).requests, 0);
}

/// The update that tells of the end of a peer's requests may be lost.
#[test]
fn row_that_its_peer_no_longer_lists_expires() {
    let mut ledger = Ledger::default();
    let id = server(0).id;

    ledger.merge(
        at(0),
        &peer(),
        stamp(1, 1),
        vec![row(0, 90, 5), row(1, 90, 3)],
    );
    for number in 2..=6 {
        let listed = vec![row(1, 90, 3)];
        ledger.merge(at(500 * (number - 1)), &peer(), stamp(1, number), listed);
    }
    ledger.expire(at(2_500));

    assert_eq!(ledger.load(at(2_500), &id).requests, 0);
    assert_eq!(ledger.load(at(2_500), &server(1).id).requests, 3);
}

#[test]
fn each_change_is_taken_once() {
    let mut ledger = Ledger::default();
    ledger.assign(&server(0).id, assignment(1, 30, true));

    let first = ledger.take_changed(at(0));
    let second = ledger.take_changed(at(0));
    ledger.release(JobId(1));
    let third = ledger.take_changed(at(0));

    assert_eq!(first.iter().map(|row| row.leads).collect::<Vec<_>>(), [1]);
    assert!(second.is_empty());
    assert_eq!(third.iter().map(|row| row.leads).collect::<Vec<_>>(), [0]);
}

/// Updates reach an entry by two ways, and one may overtake another.
#[test]
fn overtaken_digest_still_brings_the_rows_that_the_newer_one_lacks() {
    let mut ledger = Ledger::default();
    let peer = "entry-2".parse().expect("a name");
    let stamp = |number| Stamp {
        life: Incarnation(1),
        number,
    };

    ledger.merge(at(0), &peer, stamp(2), vec![row(0, 100, 2)]);
    ledger.merge(at(0), &peer, stamp(1), vec![row(0, 900, 9), row(1, 50, 1)]);

    assert_eq!(ledger.load(at(0), &server(0).id).requests, 2);
    assert_eq!(ledger.load(at(0), &server(1).id).requests, 1);
}
