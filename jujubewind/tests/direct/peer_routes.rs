//! The ways of an entry's updates: who gets them directly and who passes them on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use jujubewind::direct::Peer;
use jujubewind::direct::PeerRoutes;
use jujubewind::types::NodeId;

use crate::fixture::domain;

fn addr(number: usize) -> SocketAddr {
    (
        [127, 0, 0, 1],
        u16::try_from(1_000 + number).expect("a port"),
    )
        .into()
}

fn node(number: usize) -> NodeId {
    format!("entry-{number}").parse().expect("a name")
}

/// The entry of this number; entries take turns among `domains` failure domains.
fn peer(number: usize, domains: usize) -> Peer {
    Peer {
        node: node(number),
        addr: addr(number),
        domain: Some(domain(&format!("zone-{}", number % domains))),
    }
}

/// The routes of entry `own` among `count`.
fn routes(own: usize, count: usize, domains: usize) -> PeerRoutes {
    let me = peer(own, domains);
    let mut routes = PeerRoutes::new(me.node, me.domain.expect("a domain"));
    let others = (0..count).filter(|number| *number != own);
    routes.replace_all(others.map(|number| peer(number, domains)).collect());
    routes
}

#[test]
fn every_entry_gets_an_update_once() {
    let (count, domains) = (103, 5);
    for own in 0..count {
        let ways = routes(own, count, domains);

        let mut reached: Vec<SocketAddr> = ways.near().to_vec();
        for relay in ways.relays(0, |_| true).iter() {
            let number = usize::from(relay.port()) - 1_000;
            reached.push(*relay);
            reached.extend(routes(number, count, domains).near().iter());
        }

        let distinct: BTreeSet<SocketAddr> = reached.iter().copied().collect();
        assert_eq!(reached.len(), distinct.len(), "none twice");
        assert_eq!(distinct.len(), count - 1);
        assert!(!distinct.contains(&addr(own)));
    }
}

#[test]
fn an_update_crosses_to_each_other_failure_domain_once() {
    for count in [23, 103, 410] {
        let ways = routes(0, count, 5);

        assert_eq!(ways.relays(0, |_| true).len(), 4, "{count} entries");
    }
}

#[test]
fn passing_on_is_shared_by_all_entries() {
    let mut loads: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for own in 0..100 {
        for relay in routes(own, 100, 5).relays(0, |_| true).iter() {
            *loads.entry(*relay).or_default() += 1;
        }
    }

    assert!(loads.len() > 90, "{} of 100 entries", loads.len());
    assert!(loads.values().all(|load| *load <= 14), "{loads:?}");
}

#[test]
fn silent_entry_passes_nothing_on_while_there_are_others() {
    let ways = routes(0, 20, 2);
    let first = ways.relays(0, |_| true)[0];
    let silent = node(usize::from(first.port()) - 1_000);

    let next = ways.relays(0, |node| *node != silent)[0];
    let none_live = ways.relays(0, |_| false);

    assert_ne!(next, first);
    assert_eq!(none_live.len(), 1, "better than to nobody");
}

#[test]
fn full_updates_take_turns_between_two_ways() {
    let ways = routes(0, 20, 2);

    let turns: BTreeSet<SocketAddr> = (0..6).map(|turn| ways.relays(turn, |_| true)[0]).collect();

    assert_eq!(turns.len(), 2);
}

#[test]
fn peer_without_a_failure_domain_gets_updates_directly() {
    let mut ways = routes(0, 4, 2);
    let old = Peer {
        domain: None,
        ..peer(9, 2)
    };

    ways.insert(old);

    assert!(ways.near().contains(&addr(9)));
}
