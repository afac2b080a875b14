//! What a list of backend servers that was read as a whole tells of those that were known before.

use jujubewind::direct::FleetChange;
use jujubewind::direct::Server;
use jujubewind::direct::ServerId;
use jujubewind::types::Incarnation;

use crate::fixture::at;
use crate::fixture::core;
use crate::fixture::server;

fn restarted(number: usize) -> Server {
    Server {
        started: Some(Incarnation(2)),
        ..server(number)
    }
}

/// Memory stayed reserved for the prompts of a server of whose departure nobody was told.
#[test]
fn a_server_that_a_whole_list_lacks_has_left() {
    let mut core = core(2);

    let gone = core.apply_fleet_change(at(1_000), FleetChange::Servers(vec![server(1)]));

    assert_eq!(gone, [server(0).id]);
}

/// The same, for one that was replaced by its next incarnation in the meantime.
#[test]
fn a_server_that_a_whole_list_shows_restarted_has_left() {
    let mut core = core(2);

    let list = vec![restarted(0), server(1)];
    let gone = core.apply_fleet_change(at(1_000), FleetChange::Servers(list));

    assert_eq!(gone, [server(0).id]);
}

#[test]
fn servers_that_a_whole_list_shows_again_have_not_left() {
    let mut core = core(2);

    let list = vec![server(0), server(1), server(2)];
    let gone = core.apply_fleet_change(at(1_000), FleetChange::Servers(list));

    assert_eq!(gone, [] as [ServerId; 0]);
}

/// Its registration may have expired in the outage, and it may be listed again soon.
#[test]
fn a_server_that_a_whole_list_lacks_after_an_outage_has_not_left_yet() {
    let mut core = core(2);
    core.apply_fleet_change(at(1_000), FleetChange::OutageStarted);
    core.apply_fleet_change(at(4_000), FleetChange::OutageEnded);

    let gone = core.apply_fleet_change(at(4_000), FleetChange::Servers(vec![server(1)]));
    let lapsed = core.expire(at(6_000));

    assert_eq!(gone, [] as [ServerId; 0]);
    assert_eq!(lapsed, [server(0).id]);
}
