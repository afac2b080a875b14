//! The list of usable backend servers, also during store outages, and their quarantine.

use jujubewind::direct::Health;
use jujubewind::direct::Roster;
use jujubewind::direct::Server;
use jujubewind::direct::ServerState;
use jujubewind::types::Incarnation;

use crate::fixture::at;
use crate::fixture::server;

fn roster() -> Roster {
    let mut roster = Roster::default();
    roster.replace_all(at(0), vec![server(0), server(1)]);
    roster
}

fn ready(roster: &Roster) -> Vec<String> {
    let service = server(0).service;
    roster
        .ready(&service)
        .map(|server| server.id.to_string())
        .collect()
}

#[test]
fn removed_server_is_dropped_at_once() {
    let mut roster = roster();

    roster.remove(at(10), &server(0).id);

    assert_eq!(ready(&roster), ["s01"]);
}

#[test]
fn draining_server_is_not_ready() {
    let mut roster = roster();
    let state = ServerState::Draining;

    roster.insert(Server { state, ..server(0) });

    assert_eq!(ready(&roster), ["s01"]);
}

#[test]
fn server_that_expired_in_an_outage_is_kept_until_relisted() {
    let mut roster = roster();
    roster.begin_outage(at(0));
    roster.end_outage(at(5_000));

    roster.remove(at(5_100), &server(0).id);
    let held = ready(&roster);
    roster.insert(server(0));
    roster.expire(at(9_000));

    assert_eq!(held, ["s00", "s01"]);
    assert_eq!(ready(&roster), ["s00", "s01"]);
}

#[test]
fn server_that_is_not_relisted_expires_two_seconds_after_the_outage() {
    let mut roster = roster();
    roster.begin_outage(at(0));
    roster.end_outage(at(5_000));

    roster.remove(at(6_500), &server(0).id);
    roster.expire(at(6_900));

    assert_eq!(ready(&roster), ["s01"]);
}

#[test]
fn short_outage_grants_no_grace_period() {
    let mut roster = roster();
    roster.begin_outage(at(0));
    roster.end_outage(at(150));

    roster.remove(at(200), &server(0).id);

    assert_eq!(ready(&roster), ["s01"]);
}

#[test]
fn restart_under_the_same_name_is_detected() {
    let mut roster = roster();
    let started = Some(Incarnation(2));

    let same = roster.insert(server(0));
    let restarted = roster.insert(Server {
        started,
        ..server(0)
    });

    assert!(!same);
    assert!(restarted);
}

#[test]
fn consecutive_failures_quarantine_a_server() {
    let mut health = Health::default();

    let first = health.record_failure(at(0));
    let second = health.record_failure(at(10));

    assert!(!first);
    assert!(second);
    assert!(!health.is_usable(at(500)));
    assert!(health.is_usable(at(1_100)));
}

#[test]
fn success_ends_the_quarantine() {
    let mut health = Health::default();
    health.record_unreachable(at(0));

    health.record_success();

    assert!(health.is_usable(at(1)));
}
