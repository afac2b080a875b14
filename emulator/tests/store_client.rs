//! The store client against the platform emulator and its faults.

mod common;

use common::block_on;
use common::platform;
use common::post;
use jujube_emulator::http::RunningServer;
use jujube_emulator::platform::PlatformOptions;
use jujubewind::store::CallKind;
use jujubewind::store::Cause;
use jujubewind::store::Client;
use jujubewind::store::Key;
use jujubewind::store::Op;
use jujubewind::store::Outcome;
use jujubewind::store::Version;
use jujubewind::store::Write;
use jujubewind::types::Millis;
use serde_json::json;

const TIMEOUT: Millis = Millis(2_000);

fn server() -> RunningServer {
    platform(PlatformOptions::default())
}

fn client(server: &RunningServer) -> Client {
    Client::new(server.addr, TIMEOUT).expect("a client")
}

fn create(name: &str) -> Write {
    Write {
        key: Key::new("claims", name),
        expect: Version::ABSENT,
        value: Some(name.as_bytes().to_vec()),
        lease: None,
    }
}

fn value(outcome: &Outcome) -> Option<&[u8]> {
    match outcome {
        Outcome::Found(Some(entry)) | Outcome::Conflict(Some(entry)) => Some(&entry.value),
        _ => None,
    }
}

#[test]
fn a_swap_is_applied_once_and_a_conflict_returns_the_current_entry() {
    let server = server();

    let (first, second) = block_on(async {
        let client = client(&server);
        let swap = Op::CompareAndSwap(create("a"));
        (client.call(&swap).await, client.call(&swap).await)
    });

    assert!(matches!(first, Outcome::Applied(version) if version > Version::ABSENT));
    assert_eq!(value(&second), Some(b"a".as_slice()));
}

#[test]
fn a_swap_without_a_value_deletes_the_key() {
    let server = server();

    let read = block_on(async {
        let client = client(&server);
        let Outcome::Applied(version) = client.call(&Op::CompareAndSwap(create("a"))).await else {
            panic!("the key is new");
        };
        let removal = Write {
            expect: version,
            value: None,
            ..create("a")
        };
        client.call(&Op::CompareAndSwap(removal)).await;
        client.call(&Op::Get(Key::new("claims", "a"))).await
    });

    assert_eq!(read, Outcome::Found(None));
}

#[test]
fn a_commit_is_all_or_nothing() {
    let server = server();

    let (commit, listed) = block_on(async {
        let client = client(&server);
        client.call(&Op::CompareAndSwap(create("b"))).await;
        let commit = Op::Commit(vec![create("a"), create("b")]);
        let list = Op::List("claims/".to_owned());
        (client.call(&commit).await, client.call(&list).await)
    });

    assert!(
        matches!(&commit, Outcome::Conflicts(states) if states.len() == 2 && states[0].is_none())
    );
    assert!(matches!(&listed, Outcome::Listed(entries) if entries.len() == 1));
}

#[test]
fn a_lost_response_is_unknown_and_a_read_resolves_it() {
    let server = server();

    let (lost, read) = block_on(async {
        let client = client(&server);
        post(&server, "/faults", &json!({ "lose_next": 1 })).await;
        let lost = client.call(&Op::CompareAndSwap(create("a"))).await;
        (lost, client.call(&Op::Get(Key::new("claims", "a"))).await)
    });

    assert_eq!(lost, Outcome::Unknown);
    assert_eq!(value(&read), Some(b"a".as_slice()));
}

#[test]
fn a_call_that_cannot_connect_is_not_applied() {
    let addr = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.local_addr().expect("an address")
    };

    let outcome = block_on(async {
        let client = Client::new(addr, TIMEOUT).expect("a client");
        client.call(&Op::CompareAndSwap(create("a"))).await
    });

    assert_eq!(outcome, Outcome::NotApplied(Cause::NotConnected));
}

#[test]
fn a_rate_limited_call_is_not_applied() {
    let options = PlatformOptions {
        writes: 1,
        ..PlatformOptions::default()
    };
    let server = platform(options);

    let outcomes = block_on(async {
        let client = client(&server);
        let mut outcomes = Vec::new();
        for name in ["a", "b", "c"] {
            outcomes.push(client.call(&Op::CompareAndSwap(create(name))).await);
        }
        outcomes
    });

    assert!(
        outcomes.contains(&Outcome::NotApplied(Cause::RateLimited)),
        "{outcomes:?}"
    );
}

#[test]
fn a_lease_is_granted_and_renewed_and_calls_are_counted() {
    let server = server();

    let (granted, renewed, calls) = block_on(async {
        let client = client(&server);
        let granted = client.call(&Op::GrantLease(Millis(60_000))).await;
        let Outcome::Leased(lease, _) = granted else {
            panic!("{granted:?}");
        };
        let renewed = client.call(&Op::KeepAlive(lease)).await;
        (granted, renewed, client.calls())
    });

    assert_eq!(granted, renewed);
    assert_eq!(calls.get(&CallKind::Lease), Some(&2));
}
