//! The emulated key-value store, its leases, rate limiter and VM list, without sockets.

use jujube_emulator::platform::RateLimiter;
use jujube_emulator::platform::Store;
use jujube_emulator::platform::VmLog;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::wire::Int64;
use jujubewind::wire::platform::LeaseGrantRequest;
use jujubewind::wire::platform::PutRequest;
use jujubewind::wire::platform::RangeRequest;
use jujubewind::wire::platform::TxnRequest;
use jujubewind::wire::platform::Vm;
use jujubewind::wire::platform::VmRole;
use jujubewind::wire::platform::VmState;
use proptest::prelude::prop;
use proptest::prop_assert_eq;
use proptest::proptest;
use serde_json::json;

const START: MonoTime = MonoTime::ZERO;

fn put(key: &str, value: &str, lease: i64) -> PutRequest {
    PutRequest {
        key: key.into(),
        value: Some(value.into()),
        lease: Some(Int64(lease)),
        prev_kv: None,
    }
}

fn keys(store: &Store, from: &str, to: &str) -> Vec<Vec<u8>> {
    let request = RangeRequest {
        key: from.into(),
        range_end: Some(to.into()),
        keys_only: None,
        limit: None,
        revision: None,
    };
    let found = store.range(&request).expect("a valid range");
    found.kvs.into_iter().map(|kv| kv.key.0).collect()
}

fn compare_and_swap(revision: i64, value: &str) -> TxnRequest {
    let body = json!({
        "compare": [{ "target": "MOD", "key": "aw==", "mod_revision": revision.to_string() }],
        "success": [{ "request_put": { "key": "aw==", "value": value } }],
        "failure": [{ "request_range": { "key": "aw==" } }],
    });
    serde_json::from_value(body).expect("a valid transaction")
}

#[test]
fn one_of_two_compare_and_swaps_wins_and_the_other_reads_its_value() {
    let mut store = Store::default();

    let first = store.txn(&compare_and_swap(0, "YQ==")).expect("valid");
    let second = store.txn(&compare_and_swap(0, "Yg==")).expect("valid");

    assert_eq!(first.succeeded, Some(true));
    assert_eq!(second.succeeded, Some(false));
    let read = second.responses[0].response_range.as_ref().expect("a read");
    assert_eq!(read.kvs[0].value, Some("a".into()));
    assert_eq!(read.kvs[0].mod_revision, Some(Int64(2)));
}

#[test]
fn keys_of_a_lease_are_deleted_when_it_expires() {
    let mut store = Store::default();
    let grant = LeaseGrantRequest {
        id: None,
        ttl: Int64(5),
    };
    let id = store
        .grant(START, &grant)
        .expect("granted")
        .id
        .expect("an id")
        .0;
    store.put(&put("held", "x", id)).expect("written");
    store.put(&put("kept", "x", 0)).expect("written");

    let renewed = store
        .keep_alive(START.after(Millis(4_000)), id)
        .result
        .expect("a result");
    store.expire(START.after(Millis(8_999)));
    let before = keys(&store, "a", "z");
    store.expire(START.after(Millis(9_000)));
    let after = keys(&store, "a", "z");
    let late = store
        .keep_alive(START.after(Millis(9_000)), id)
        .result
        .expect("a result");

    assert_eq!(renewed.ttl, Some(Int64(5)));
    assert_eq!(before, [b"held", b"kept"]);
    assert_eq!(after, [b"kept"]);
    assert_eq!(late.ttl, Some(Int64(0)));
    assert!(store.put(&put("held", "x", id)).is_err());
}

#[test]
fn a_value_over_the_limit_is_refused_and_changes_nothing() {
    let mut store = Store::default();
    let long = "x".repeat(1_048_577);

    let refused = store.put(&put("k", &long, 0));
    let accepted = store.put(&put("k", &long[1..], 0));

    assert!(refused.is_err());
    assert_eq!(
        accepted
            .expect("written")
            .header
            .expect("a header")
            .revision,
        Some(Int64(2))
    );
}

#[test]
fn calls_over_the_rate_are_refused_and_open_watches_use_up_the_rate() {
    let mut rate = RateLimiter::new(10);

    let burst = (0..20).filter(|_| rate.try_acquire(START, 0)).count();
    let later = START.after(Millis(1_000));
    let with_watches = (0..20).filter(|_| rate.try_acquire(later, 7)).count();

    assert_eq!(burst, 10);
    assert_eq!(with_watches, 3);
}

#[test]
fn the_vm_list_lags() {
    let vm = |state| Vm {
        name: "w1".to_owned(),
        addr: "10.0.0.1:1".to_owned(),
        domain: "d1".to_owned(),
        role: VmRole::Agent,
        state,
    };
    let mut log = VmLog::default();
    log.record(START, vec![vm(VmState::Live)]);
    let change = START.after(Millis(1_000));
    log.record(change, vec![vm(VmState::Leaving)]);

    let early = log.read(change.after(Millis(499)), Millis(500));
    let late = log.read(change.after(Millis(500)), Millis(500));

    assert_eq!(early.vms, [vm(VmState::Live)]);
    assert_eq!(late.vms, [vm(VmState::Leaving)]);
}

proptest! {
    #[test]
    fn a_range_returns_the_keys_between_its_bounds(
        names in prop::collection::btree_set("[a-d]{1,3}", 0..20),
        from in "[a-d]{1,3}",
        to in "[a-d]{1,3}",
    ) {
        let mut store = Store::default();
        for name in &names {
            store.put(&put(name, "x", 0)).expect("written");
        }

        let found = keys(&store, &from, &to);

        let expected = names.iter().filter(|name| **name >= from && **name < to);
        let expected: Vec<Vec<u8>> = expected.map(|name| name.clone().into_bytes()).collect();
        prop_assert_eq!(found, expected);
    }
}
