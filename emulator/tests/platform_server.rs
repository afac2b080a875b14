//! The platform over HTTP, and its faults.
//!
//! Keys and values are base64: `aw==` is `k`; `YQ==`, `Yg==` and `Yw==` are `a`, `b` and `c`.

mod common;

use common::block_on;
use common::get;
use common::is_pending;
use common::platform;
use common::post;
use common::post_json;
use futures::Stream;
use futures::StreamExt;
use hyper::StatusCode;
use jujube_emulator::http::RunningServer;
use jujube_emulator::platform::PlatformOptions;
use jujubewind::wire::platform::WatchResult;
use serde_json::Value;
use serde_json::json;

fn server() -> RunningServer {
    platform(PlatformOptions::default())
}

fn put(value: &str) -> Value {
    json!({ "key": "aw==", "value": value })
}

async fn watch(
    server: &RunningServer,
    start: u64,
) -> impl Stream<Item = Option<WatchResult>> + Unpin {
    let client = cyper::Client::new().expect("a client");
    let create = json!({ "key": "aw==", "start_revision": start.to_string() });
    let body = json!({ "create_request": create });
    let request = client.post(server.url() + "/v3/watch").expect("a URL");
    let response = request.json(&body).expect("JSON").send().await;
    // The emulator sends one line per chunk.
    Box::pin(response.expect("an answer").bytes_stream().map(|chunk| {
        let mut line: Value = serde_json::from_slice(&chunk.ok()?).ok()?;
        serde_json::from_value(line["result"].take()).ok()
    }))
}

#[test]
fn a_watch_reports_changes_since_its_start_revision() {
    let server = server();

    let results = block_on(async {
        post(&server, "/v3/kv/put", &put("YQ==")).await;
        let mut watch = watch(&server, 2).await;
        let created = watch.next().await;
        let missed = watch.next().await;
        post(&server, "/v3/kv/put", &put("Yg==")).await;
        let live = watch.next().await;
        [created, missed, live].map(|result| result.flatten().expect("a result"))
    });

    assert_eq!(results[0].created, Some(true));
    assert_eq!(results[1].events[0].kv.value, Some("a".into()));
    assert_eq!(results[2].events[0].kv.value, Some("b".into()));
}

#[test]
fn a_frozen_watch_catches_up_after_the_freeze() {
    let server = server();

    let events = block_on(async {
        let mut watch = watch(&server, 0).await;
        watch.next().await;
        post(&server, "/faults", &json!({ "freeze_watches": true })).await;
        post(&server, "/v3/kv/put", &put("YQ==")).await;
        post(&server, "/v3/kv/put", &put("Yg==")).await;
        post(&server, "/faults", &json!({ "freeze_watches": false })).await;
        watch.next().await.flatten().expect("a result").events
    });

    assert_eq!(events.len(), 2);
}

#[test]
fn a_write_whose_response_is_lost_is_applied() {
    let server = server();

    let (lost, read) = block_on(async {
        post(&server, "/faults", &json!({ "lose_next": 1 })).await;
        let lost = post(&server, "/v3/kv/put", &put("YQ==")).await;
        let read = post_json(&server, "/v3/kv/range", &json!({ "key": "aw==" })).await;
        (lost, read)
    });

    assert_eq!(lost, None);
    assert_eq!(read["kvs"][0]["value"], "YQ==");
}

#[test]
fn an_outage_breaks_calls_and_watches_and_keeps_the_keys() {
    let server = server();

    let (broken, refused, read) = block_on(async {
        post(&server, "/v3/kv/put", &put("YQ==")).await;
        let mut watch = watch(&server, 0).await;
        watch.next().await;
        post(&server, "/faults", &json!({ "down": true })).await;
        let broken = watch.next().await;
        let refused = post(&server, "/v3/kv/put", &put("Yg==")).await;
        post(&server, "/faults", &json!({ "down": false })).await;
        let read = post_json(&server, "/v3/kv/range", &json!({ "key": "aw==" })).await;
        (broken, refused, read)
    });

    assert_eq!(broken, Some(None));
    assert_eq!(refused, None);
    assert_eq!(read["kvs"][0]["value"], "YQ==");
}

#[test]
fn calls_over_the_rate_get_429() {
    let server = platform(PlatformOptions {
        writes: 0,
        ..PlatformOptions::default()
    });

    let (status, body) = block_on(post(&server, "/v3/kv/put", &put("YQ=="))).expect("an answer");

    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
    assert!(body.contains("too many requests"));
}

#[test]
fn the_vm_list_can_be_replaced() {
    let server = server();
    let vm = json!({
        "name": "w1", "addr": "10.0.0.1:1", "domain": "d1", "role": "agent", "state": "leaving",
    });

    let list = block_on(async {
        post(&server, "/v1/vms", &json!({ "as_of_ms": 0, "vms": [vm] })).await;
        get(&server, "/v1/vms").await
    });

    assert_eq!(list["vms"], json!([vm]));
}

#[test]
fn a_slow_platform_delays_calls() {
    let server = server();

    let (is_waiting, answer) = block_on(async {
        post(&server, "/faults", &json!({ "slow_ms": 3_600_000 })).await;
        let body = put("YQ==");
        let is_waiting = is_pending(Box::pin(post(&server, "/v3/kv/put", &body))).await;
        post(&server, "/faults", &json!({ "slow_ms": 0 })).await;
        (is_waiting, post(&server, "/v3/kv/put", &body).await)
    });

    assert!(is_waiting);
    assert_eq!(answer.expect("an answer").0, StatusCode::OK);
}

#[test]
fn responses_are_lost_until_the_fault_is_cleared() {
    let server = server();

    let (lost, answered, read) = block_on(async {
        post(&server, "/faults", &json!({ "lose_answers": true })).await;
        let first = post(&server, "/v3/kv/put", &put("YQ==")).await;
        let second = post(&server, "/v3/kv/put", &put("Yg==")).await;
        post(&server, "/faults", &json!({ "lose_answers": false })).await;
        let answered = post(&server, "/v3/kv/put", &put("Yw==")).await;
        let read = post_json(&server, "/v3/kv/range", &json!({ "key": "aw==" })).await;
        ([first, second], answered, read)
    });

    assert_eq!(lost, [None, None]);
    assert_eq!(answered.expect("an answer").0, StatusCode::OK);
    assert_eq!(read["kvs"][0]["version"], "3");
}
