//! The shared view of what is under way.

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
fn own_requests_and_those_of_peers_add_up() {
    let mut ledger = Ledger::default();
    let id = server(0).id;

    ledger.take(&id, assignment(1, 30, true));
    ledger.merge(at(0), &peer(), stamp(1, 1), vec![row(0, 50, 2)]);

    let load = ledger.load(at(0), &id);
    assert_eq!((load.backlog, load.leads), (Work(80_000), 3));
}

#[test]
fn a_prompt_that_was_read_is_no_backlog_and_its_helpers_are_free() {
    let mut ledger = Ledger::default();
    let (lead, helper) = (server(0).id, server(1).id);
    ledger.take(&lead, assignment(1, 30, true));
    ledger.take(&helper, assignment(1, 30, false));

    ledger.mark_prefilled(JobId(1));

    assert_eq!(ledger.load(at(0), &lead).backlog, Work::ZERO);
    assert_eq!(ledger.load(at(0), &lead).leads, 1);
    assert_eq!(ledger.jobs(&helper).count(), 0);
}

#[test]
fn a_helper_that_keeps_memory_holds_it_to_the_end() {
    let mut ledger = Ledger::default();
    let helper = server(1).id;
    let mut part = assignment(1, 30, false);
    part.memory = Tokens(200_000);
    ledger.take(&helper, part);

    ledger.mark_prefilled(JobId(1));
    let held = ledger.load(at(0), &helper).memory;
    ledger.leave(JobId(1));

    assert_eq!(held, Tokens(200_000));
    assert_eq!(ledger.load(at(0), &helper).memory, Tokens::ZERO);
}

#[test]
fn an_engine_that_is_done_with_its_part_is_free_though_others_still_read() {
    let mut ledger = Ledger::default();
    let (lead, helper) = (server(0).id, server(1).id);
    ledger.take(&lead, assignment(1, 9_000, true));
    ledger.take(&helper, assignment(1, 1_000, false));

    let halfway = ledger.load(at(500), &helper).backlog;
    let late = ledger.load(at(1_200), &helper).backlog;
    let done = ledger.load(at(2_000), &helper).backlog;

    assert_eq!(halfway, Work(500_000));
    assert!(late > Work::ZERO, "the prediction may be wrong");
    assert_eq!(done, Work::ZERO);
    assert_eq!(ledger.load(at(2_000), &lead).backlog, Work(7_000_000));
}

#[test]
fn what_a_peer_told_is_read_as_time_passes() {
    let mut ledger = Ledger::default();
    let id = server(0).id;

    ledger.merge(at(0), &peer(), stamp(1, 1), vec![row(0, 900, 1)]);

    assert_eq!(ledger.load(at(400), &id).backlog, Work(500_000));
    assert_eq!(ledger.load(at(1_000), &id).backlog, Work::ZERO);
}

#[test]
fn a_late_digest_does_not_undo_a_newer_one() {
    let mut ledger = Ledger::default();

    ledger.merge(at(0), &peer(), stamp(1, 2), vec![row(0, 0, 0)]);
    ledger.merge(at(1), &peer(), stamp(1, 1), vec![row(0, 90, 5)]);

    assert_eq!(ledger.load(at(1), &server(0).id).leads, 0);
}

#[test]
fn a_peer_that_started_anew_has_nothing_under_way() {
    let mut ledger = Ledger::default();

    ledger.merge(at(0), &peer(), stamp(1, 900), vec![row(0, 90, 5)]);
    ledger.merge(at(1), &peer(), stamp(2, 1), vec![]);

    assert_eq!(ledger.load(at(1), &server(0).id).leads, 0);
}

#[test]
fn a_peer_that_fell_silent_no_longer_counts() {
    let mut ledger = Ledger::default();

    ledger.merge(at(0), &peer(), stamp(1, 1), vec![row(0, 90, 5)]);

    assert_eq!(ledger.load(at(1_000), &server(0).id).leads, 5);
    assert_eq!(ledger.load(at(2_500), &server(0).id).leads, 0);
}

#[test]
fn each_change_is_told_once() {
    let mut ledger = Ledger::default();
    ledger.take(&server(0).id, assignment(1, 30, true));

    let first = ledger.take_changed(at(0));
    let second = ledger.take_changed(at(0));
    ledger.leave(JobId(1));
    let third = ledger.take_changed(at(0));

    assert_eq!(first.iter().map(|row| row.leads).collect::<Vec<_>>(), [1]);
    assert!(second.is_empty());
    assert_eq!(third.iter().map(|row| row.leads).collect::<Vec<_>>(), [0]);
}
