//! Backend servers that leave or ask for a pause: what an entry still sends them.

use jujubewind::direct::Core;
use jujubewind::direct::Digest;
use jujubewind::direct::FleetChange;
use jujubewind::direct::Job;
use jujubewind::direct::JobId;
use jujubewind::direct::Notice;
use jujubewind::direct::Notices;
use jujubewind::direct::PeerNotice;
use jujubewind::direct::Server;
use jujubewind::direct::Stamp;
use jujubewind::direct::Verdict;
use jujubewind::pace::NamedLimit;
use jujubewind::refusal::Reason;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::Revision;

use crate::fixture::at;
use crate::fixture::core;
use crate::fixture::job;
use crate::fixture::server;

const LEAVING: Notice = Notice {
    leaving: true,
    pause: None,
    limit: NamedLimit::Absent,
};

fn pause(millis: u64) -> Notice {
    Notice {
        pause: Some(Millis(millis)),
        ..Notice::default()
    }
}

/// What a peer tells of an incarnation of the first server that leaves.
fn leaving(incarnation: u64) -> PeerNotice {
    PeerNotice {
        server: server(0).id,
        started: Some(Incarnation(incarnation)),
        notice: LEAVING,
        delisting: None,
        limit: None,
    }
}

fn digest(notices: Vec<PeerNotice>) -> Digest {
    Digest {
        node: "entry-2".parse().expect("a name"),
        stamp: Stamp {
            life: Incarnation(1),
            number: 1,
        },
        rows: Vec::new(),
        suspects: Vec::new(),
        notices,
        newest: Revision(1),
    }
}

/// The server that a short prompt is placed on.
fn placed(core: &mut Core, now: u64, id: u64) -> Option<String> {
    let job = Job {
        arrived: at(now),
        deadline: at(now + 10_000),
        ..job(id, 1_000)
    };
    match core.place_or_queue(at(now), job) {
        Some(Verdict::Place(placement)) => Some(placement.primary.id.to_string()),
        _ => None,
    }
}

#[test]
fn leaving_server_gets_nothing_whatever_the_list_says() {
    let mut core = core(2);
    core.record_notice(at(10), &server(0), LEAVING);

    core.apply_fleet_change(at(20), FleetChange::Listed(server(0)));
    let places: Vec<_> = (1..6).map(|id| placed(&mut core, 30, id)).collect();

    assert!(
        places.iter().all(|place| place.as_deref() == Some("s01")),
        "{places:?}"
    );
}

#[test]
fn next_incarnation_of_a_server_that_left_gets_requests() {
    let mut core = core(1);
    core.record_notice(at(10), &server(0), LEAVING);
    let before = placed(&mut core, 20, 1);

    let next = Server {
        started: Some(Incarnation(2)),
        ..server(0)
    };
    core.apply_fleet_change(at(30), FleetChange::Listed(next));
    let after = placed(&mut core, 40, 2);

    assert_eq!(before, None);
    assert_eq!(after.as_deref(), Some("s00"));
}

#[test]
fn queued_request_is_refused_once_its_only_server_leaves() {
    let mut core = core(1);
    for id in 1..=16 {
        placed(&mut core, 0, id);
    }
    placed(&mut core, 0, 17);

    core.record_notice(at(10), &server(0), LEAVING);
    let verdicts = core.poll(at(20));

    assert_eq!(verdicts.len(), 1);
    assert_eq!(verdicts[0].0, JobId(17));
    let Verdict::Refuse(refusal) = &verdicts[0].1 else {
        panic!("{verdicts:?}");
    };
    assert_eq!(refusal.reason, Reason::NoBackend);
}

#[test]
fn paused_server_gets_nothing_until_the_pause_ends() {
    let mut core = core(2);
    core.record_notice(at(0), &server(0), pause(500));

    let during: Vec<_> = (1..6).map(|id| placed(&mut core, 499, id)).collect();
    let after: Vec<_> = (6..12).map(|id| placed(&mut core, 500, id)).collect();

    assert!(
        during.iter().all(|place| place.as_deref() == Some("s01")),
        "{during:?}"
    );
    assert!(after.contains(&Some("s00".to_owned())), "{after:?}");
}

#[test]
fn request_is_refused_with_the_shortest_remaining_pause() {
    let mut core = core(3);
    for (number, millis) in [(0, 900), (1, 400), (2, 1_500)] {
        core.record_notice(at(0), &server(number), pause(millis));
    }

    let verdict = core.place_or_queue(at(100), job(1, 1_000));

    let Some(Verdict::Refuse(refusal)) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(refusal.reason, Reason::QueueFull);
    assert_eq!(refusal.retry, Millis(300));
}

#[test]
fn shorter_pause_does_not_cut_a_longer_one() {
    let mut notices = Notices::default();
    notices.record(at(0), &server(0), pause(900));

    notices.record(at(10), &server(0), pause(100));

    assert_eq!(notices.pause(at(200), &server(0).id), Millis(700));
}

#[test]
fn absurd_pause_is_bounded() {
    let mut notices = Notices::default();

    notices.record(at(0), &server(0), pause(u64::MAX));

    assert_eq!(notices.pause(at(0), &server(0).id), Millis(60_000));
}

#[test]
fn peers_learn_who_leaves_and_avoid_who_is_strained() {
    let mut teller = Notices::default();
    teller.record(at(0), &server(0), LEAVING);
    teller.record(at(0), &server(1), pause(5_000));

    let mut listener = Notices::default();
    for notice in teller.to_peers(at(1_000)) {
        listener.merge(at(1_000), &notice);
    }

    assert!(!listener.allow(at(1_000), &server(0)));
    assert!(
        listener.allow(at(1_000), &server(1)),
        "the pause was asked of another entry"
    );
    assert!(listener.is_strained(at(4_999), &server(1).id));
    assert!(!listener.is_strained(at(5_000), &server(1).id));
}

#[test]
fn older_incarnation_does_not_hide_that_the_next_one_leaves() {
    let mut notices = Notices::default();
    let next = Server {
        started: Some(Incarnation(2)),
        ..server(0)
    };
    notices.record(at(0), &next, LEAVING);

    notices.merge(at(10), &leaving(1));

    assert!(notices.is_leaving(&next));
}

/// An entry that had not heard of a restart sent requests to the server again.
#[test]
fn leaving_server_gets_nothing_once_peers_tell_that_its_next_incarnation_leaves() {
    let mut core = core(2);
    core.record_notice(at(10), &server(0), LEAVING);

    core.merge(at(20), digest(vec![leaving(2)]));
    let places: Vec<_> = (1..6).map(|id| placed(&mut core, 30, id)).collect();

    assert!(
        places.iter().all(|place| place.as_deref() == Some("s01")),
        "{places:?}"
    );
    assert!(!core.notices().allow(at(30), &server(0)));
}

#[test]
fn server_gets_nothing_once_peers_tell_that_its_next_incarnation_leaves() {
    let mut core = core(2);

    core.merge(at(20), digest(vec![leaving(2)]));
    let places: Vec<_> = (1..6).map(|id| placed(&mut core, 30, id)).collect();

    assert!(
        places.iter().all(|place| place.as_deref() == Some("s01")),
        "{places:?}"
    );
}

#[test]
fn incarnation_after_the_one_that_left_gets_requests_though_peers_tell_of_both_before_it() {
    let mut core = core(1);
    core.record_notice(at(10), &server(0), LEAVING);
    core.merge(at(20), digest(vec![leaving(2)]));

    let next = Server {
        started: Some(Incarnation(3)),
        ..server(0)
    };
    core.apply_fleet_change(at(30), FleetChange::Listed(next));

    assert_eq!(placed(&mut core, 40, 1).as_deref(), Some("s00"));
}

#[test]
fn notices_of_servers_that_are_gone_are_dropped() {
    let mut notices = Notices::default();
    notices.record(at(0), &server(0), LEAVING);
    notices.record(at(0), &server(1), pause(500));

    notices.expire(at(30_000), |_, _| false);
    let remembered = notices.is_leaving(&server(0));
    notices.expire(at(70_000), |_, _| false);

    assert!(remembered, "an older copy of the list could show it again");
    assert!(notices.to_peers(at(70_000)).is_empty());
}
