//! The store's watch against the platform emulator and its faults.

mod common;

use common::block_on;
use common::get;
use common::platform;
use common::post;
use jujube_emulator::http::RunningServer;
use jujube_emulator::platform::PlatformOptions;
use jujubewind::store::Client;
use jujubewind::store::Key;
use jujubewind::store::Op;
use jujubewind::store::Outcome;
use jujubewind::store::Watch;
use jujubewind::store::WatchEvent;
use jujubewind::types::Millis;
use serde_json::json;

const TIMEOUT: Millis = Millis(2_000);

fn server() -> RunningServer {
    platform(PlatformOptions::default())
}

fn key() -> Key {
    Key::new("catalogue", "head")
}

async fn put(client: &Client, value: &str) {
    let op = Op::Put {
        key: key(),
        value: value.as_bytes().to_vec(),
        lease: None,
    };
    let outcome = client.call(&op).await;
    assert!(matches!(outcome, Outcome::Applied(_)), "{outcome:?}");
}

async fn next_value(watch: &Watch) -> Vec<u8> {
    loop {
        if let WatchEvent::Written(entry) = watch.next().await.expect("an open watch") {
            return entry.value;
        }
    }
}

async fn open_watch(client: &Client) -> Watch {
    let watch = Watch::start(client.clone(), key());
    assert_eq!(watch.next().await, Some(WatchEvent::Opened));
    watch
}

#[test]
fn a_watch_reports_each_write_in_order() {
    let server = server();

    let values = block_on(async {
        let client = Client::new(server.addr, TIMEOUT).expect("a client");
        let watch = open_watch(&client).await;
        put(&client, "1").await;
        put(&client, "2").await;
        [next_value(&watch).await, next_value(&watch).await]
    });

    assert_eq!(values, [b"1".to_vec(), b"2".to_vec()]);
}

#[test]
fn a_broken_watch_resumes_where_it_stopped() {
    let server = server();

    let values = block_on(async {
        let client = Client::new(server.addr, TIMEOUT).expect("a client");
        let watch = open_watch(&client).await;
        put(&client, "1").await;
        let first = next_value(&watch).await;
        post(&server, "/faults", &json!({ "down": true })).await;
        assert_eq!(watch.next().await, Some(WatchEvent::Broken));
        post(&server, "/faults", &json!({ "down": false })).await;
        put(&client, "2").await;
        [first, next_value(&watch).await]
    });

    assert_eq!(values, [b"1".to_vec(), b"2".to_vec()]);
}

#[test]
fn a_frozen_watch_reports_missed_writes_after_the_freeze() {
    let server = server();

    let values = block_on(async {
        let client = Client::new(server.addr, TIMEOUT).expect("a client");
        let watch = open_watch(&client).await;
        post(&server, "/faults", &json!({ "freeze_watches": true })).await;
        put(&client, "1").await;
        put(&client, "2").await;
        post(&server, "/faults", &json!({ "freeze_watches": false })).await;
        [next_value(&watch).await, next_value(&watch).await]
    });

    assert_eq!(values, [b"1".to_vec(), b"2".to_vec()]);
}

#[test]
fn a_dropped_watch_no_longer_waits_at_the_store() {
    let server = platform(PlatformOptions {
        reads: 2,
        ..PlatformOptions::default()
    });

    let found = block_on(async {
        let client = Client::new(server.addr, TIMEOUT).expect("a client");
        let watch = open_watch(&client).await;
        drop(watch);
        loop {
            if let Outcome::Found(found) = client.call(&Op::Get(key())).await {
                return found;
            }
        }
    });

    assert_eq!(found, None);
    assert_eq!(block_on(get(&server, "/faults"))["down"], false);
}
