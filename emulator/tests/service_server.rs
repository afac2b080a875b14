//! The plain service over HTTP, and its faults.

mod common;

use common::block_on;
use common::get;
use common::is_pending;
use common::post;
use common::post_with;
use common::service;
use hyper::StatusCode;
use serde_json::json;

const KEY: [(&str, &str); 1] = [("idempotency-key", "k1")];

#[test]
fn each_execution_is_counted_by_key() {
    let server = service();

    let (answer, counts) = block_on(async {
        post_with(&server, "/transfer", &json!({}), &KEY).await;
        let answer = post_with(&server, "/transfer", &json!({}), &KEY).await;
        (answer.expect("an answer").1, get(&server, "/counts").await)
    });

    assert_eq!(answer, r#"{"executions":2,"key":"k1","method":"transfer"}"#);
    assert_eq!(counts, json!({ "executions": { "k1": 2 } }));
}

#[test]
fn a_call_whose_response_is_lost_is_executed_and_a_failed_call_is_not() {
    let server = service();

    let (lost, failed, counts) = block_on(async {
        post(&server, "/faults", &json!({ "lose_answers": true })).await;
        let lost = post_with(&server, "/transfer", &json!({}), &KEY).await;
        post(
            &server,
            "/faults",
            &json!({ "lose_answers": false, "fail": true }),
        )
        .await;
        let failed = post_with(&server, "/transfer", &json!({}), &KEY).await;
        (
            lost,
            failed.expect("an answer"),
            get(&server, "/counts").await,
        )
    });

    assert_eq!(lost, None);
    assert_eq!(failed.0, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(counts["executions"]["k1"], 1);
}

#[test]
fn a_delayed_call_is_not_executed_yet() {
    let server = service();

    let (is_waiting, before, after) = block_on(async {
        post(&server, "/faults", &json!({ "delay_ms": 3_600_000 })).await;
        let body = json!({});
        let call = Box::pin(post_with(&server, "/transfer", &body, &KEY));
        let is_waiting = is_pending(call).await;
        let before = get(&server, "/counts").await;
        post(&server, "/faults", &json!({ "delay_ms": 0 })).await;
        post_with(&server, "/transfer", &json!({}), &KEY).await;
        (is_waiting, before, get(&server, "/counts").await)
    });

    assert!(is_waiting);
    assert_eq!(before, json!({ "executions": {} }));
    assert_eq!(after, json!({ "executions": { "k1": 1 } }));
}
