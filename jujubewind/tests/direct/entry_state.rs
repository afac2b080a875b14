//! The published configuration: table versions, freshness, routes and API keys.

use std::rc::Rc;

use jujubewind::direct::BootTime;
use jujubewind::direct::EntryState;
use jujubewind::direct::Limits;
use jujubewind::direct::Organisation;
use jujubewind::direct::Owner;
use jujubewind::direct::Route;
use jujubewind::direct::RouteKind;
use jujubewind::direct::ServerId;
use jujubewind::direct::StalenessLimits;
use jujubewind::direct::Table;
use jujubewind::direct::Target;
use jujubewind::types::Incarnation;
use jujubewind::types::Millis;
use jujubewind::types::Revision;

use crate::fixture::table;

fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: "r".parse().expect("a name"),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Once,
        timeout: Millis(1_000),
        latency_target: Millis(200),
        max_gap: None,
        client_timeout: Millis(1_000),
        attempts: 1,
        priority: 1,
        public: false,
        resumable: false,
        regions: Vec::new(),
        targets: vec![Target {
            service: service.parse().expect("a name"),
            weight: 1,
        }],
    }
}

fn boot(millis: u64) -> BootTime {
    BootTime::from_millis(millis)
}

#[test]
fn older_table_does_not_replace_a_newer_one() {
    let state = EntryState::default();

    let taken: Vec<bool> = [3, 2, 3, 7]
        .map(|version| state.install_table(table(version)))
        .to_vec();

    assert_eq!(taken, [true, false, false, true]);
    assert_eq!(state.table().map(|table| table.version), Some(Revision(7)));
}

#[test]
fn keys_are_trusted_only_while_the_proof_is_young() {
    let state = trusting_state();
    state.mark_listed();

    let before = state.is_trusted(boot(10));
    state.confirm(boot(1_000));

    assert!(!before);
    assert!(state.is_trusted(boot(5_700)));
    assert!(!state.is_trusted(boot(5_750)));
    assert!(state.is_ready(boot(3_490)));
    assert!(!state.is_ready(boot(3_500)));
}

#[test]
fn a_late_answer_does_not_make_the_proof_older() {
    let state = EntryState::default();

    state.confirm(boot(3_000));
    state.confirm(boot(1_000));

    assert_eq!(state.table_age(boot(3_500)), Some(Millis(500)));
}

fn trusting_state() -> EntryState {
    let state = EntryState::default();
    state.set_staleness_limits(StalenessLimits {
        keys: Millis(4_750),
        ready: Millis(2_500),
    });
    state.install_table(table(5));
    state
}

/// A change reaches entries one after the other, and one that is cut off from the store may use its
/// table as long as any: it was the newest when it was confirmed.
#[test]
fn running_entry_trusts_its_table_up_to_its_age_although_a_peer_knows_a_newer_one() {
    let state = trusting_state();
    state.confirm_version(boot(1_000), Revision(5));

    state.hear_peer(boot(1_100), Revision(6));
    state.confirm_version(boot(3_000), Revision(5));

    assert!(state.is_trusted(boot(5_700)));
    assert!(
        !state.is_trusted(boot(5_750)),
        "an older version confirms nothing"
    );
}

#[test]
fn table_that_a_restored_store_confirmed_is_not_trusted_once_a_peer_knows_a_newer_one() {
    let state = trusting_state();
    state.doubt_confirmations(boot(7_000));
    state.confirm_version(boot(2_000), Revision(5));

    let before = state.is_trusted(boot(2_100));
    state.hear_peer(boot(2_200), Revision(6));
    let during = state.is_trusted(boot(2_300));
    state.install_table(table(6));

    assert!(before);
    assert!(!during);
    assert!(state.is_trusted(boot(2_300)));
}

#[test]
fn starting_entry_trusts_no_table_that_is_older_than_a_peers() {
    let state = trusting_state();
    state.confirm_version(boot(1_000), Revision(5));
    state.await_peers(boot(1_300));

    state.hear_peer(boot(1_100), Revision(6));
    let older = state.is_trusted(boot(1_400));
    state.install_table(table(6));

    assert!(!older);
    assert!(state.is_trusted(boot(1_400)));
}

#[test]
fn older_version_in_the_store_confirms_nothing() {
    let state = trusting_state();

    state.confirm_version(boot(1_000), Revision(4));
    let by_older = state.is_trusted(boot(1_100));
    state.confirm_version(boot(1_000), Revision(5));

    assert!(!by_older);
    assert!(state.is_trusted(boot(1_100)));
}

#[test]
fn starting_entry_waits_for_a_peer_that_vouches_for_a_version() {
    let state = trusting_state();
    state.confirm_version(boot(1_000), Revision(5));
    state.await_peers(boot(1_400));

    let waiting = state.is_trusted(boot(1_100));
    let vouched = state.vouched_version(boot(1_100));
    state.hear_peer(boot(1_100), Revision::ZERO);
    let still_waiting = state.is_trusted(boot(1_100));
    state.hear_peer(boot(1_100), Revision(5));

    assert!(!waiting);
    assert_eq!(
        vouched,
        Revision::ZERO,
        "it must not vouch for what it has only read"
    );
    assert!(!still_waiting);
    assert!(state.is_trusted(boot(1_100)));
    assert_eq!(state.vouched_version(boot(1_100)), Revision(5));
}

#[test]
fn starting_entry_does_not_wait_for_peers_without_end() {
    let state = trusting_state();
    state.confirm_version(boot(1_000), Revision(5));

    state.await_peers(boot(1_400));

    assert!(state.is_trusted(boot(1_400)));
}

#[test]
fn longest_matching_prefix_of_the_host_wins() {
    let mut table = Table::new(Revision(1), Limits::default());
    table.add_route(route("/a/", "one"));
    table.add_route(route("/a/b/", "two"));

    let service = |path: &str| {
        let route = table.route("desk.example", path)?;
        Some(route.target(0)?.to_string())
    };

    assert_eq!(service("/a/b/c").as_deref(), Some("two"));
    assert_eq!(service("/a/x").as_deref(), Some("one"));
    assert_eq!(service("/b/"), None);
    assert!(table.route("other.example", "/a/").is_none());
}

#[test]
fn requests_are_split_by_target_weight() {
    let mut split = route("/a/", "one");
    split.targets = vec![
        Target {
            service: "one".parse().expect("a name"),
            weight: 90,
        },
        Target {
            service: "two".parse().expect("a name"),
            weight: 10,
        },
    ];

    let to_two = (0..1_000)
        .filter(|draw| {
            split
                .target(*draw)
                .is_some_and(|name| name.as_str() == "two")
        })
        .count();

    assert_eq!(to_two, 100);
}

#[test]
fn key_identifies_its_organisation() {
    let mut table = table(1);
    let organisation = Organisation {
        name: "office".parse().expect("a name"),
        priority: Some(0),
        regions: Vec::new(),
    };

    table.add_organisation(organisation.clone(), vec!["key-1".to_owned()]);

    assert!(table.needs_key());
    let owner = Owner::Organisation(Rc::new(organisation));
    assert_eq!(table.owner("key-1"), Some(&owner));
    assert!(table.owner("key-2").is_none());
}

fn departed(state: &EntryState, now: u64) -> bool {
    state.has_departed(boot(now), boot(1_000), &server())
}

fn server() -> ServerId {
    "e1".parse().expect("a name")
}

#[test]
fn server_that_is_listed_again_at_once_has_not_departed() {
    let state = EntryState::default();
    state.record_absence(boot(2_000), server(), Some(Incarnation(5)));
    let absent = departed(&state, 2_499);

    state.record_listing(boot(2_400), &server(), Some(Incarnation(5)));

    assert!(!absent);
    assert!(!departed(&state, 9_000));
}

#[test]
fn server_that_stays_off_the_list_has_departed() {
    let state = EntryState::default();

    state.record_absence(boot(2_000), server(), Some(Incarnation(5)));

    assert!(departed(&state, 2_500));
    assert!(!state.has_departed(boot(2_500), boot(2_100), &server()));
}

#[test]
fn server_that_is_listed_again_after_a_restart_has_departed() {
    let state = EntryState::default();
    state.record_absence(boot(2_000), server(), Some(Incarnation(5)));

    state.record_listing(boot(2_100), &server(), Some(Incarnation(6)));
    state.record_listing(boot(2_200), &server(), Some(Incarnation(6)));

    assert!(departed(&state, 2_200));
}

#[test]
fn server_that_restarted_has_departed_although_it_is_listed() {
    let state = EntryState::default();

    state.record_restart(boot(2_000), server());
    state.record_listing(boot(2_100), &server(), Some(Incarnation(6)));

    assert!(departed(&state, 2_100));
}
