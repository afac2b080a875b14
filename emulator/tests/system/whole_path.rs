//! Requests from a caller through an entry to a backend server and back.

use std::io::Write;

use jujube_emulator::engine::core::answer::expected;
use serde_json::json;

use crate::answer::Answer;
use crate::fleet::Fleet;

fn small_fleet() -> Fleet {
    let fleet = Fleet::new().engine("a").service("s").entry("e1");
    fleet.wait_until("both agents are known", |fleet| {
        fleet.agents_known("e1") == 2
    });
    fleet
}

fn prompt(words: usize) -> String {
    "deed of attorney ".repeat(words)
}

fn assert_refused(answer: &Answer, status: u16, kind: &str) {
    assert_eq!(
        (answer.status, answer.kind().as_str()),
        (status, kind),
        "{}",
        answer.body
    );
    assert_eq!(answer.ran(), "not_run");
}

#[test]
fn streams_the_whole_answer_of_an_engine() {
    let fleet = small_fleet();
    let text = prompt(500);

    let answer = fleet.caller("e1").complete(&text, 40).send();

    assert_eq!(answer.status, 200, "{}\n{}", answer.body, fleet.logs());
    assert!(answer.is_complete(), "{}", answer.body);
    assert_eq!(answer.text(), expected(&text, 40));
}

#[test]
fn answers_a_chat_without_streaming() {
    let fleet = small_fleet();
    let body = json!({
        "model": "m1", "max_tokens": 12, "messages": [{"role": "user", "content": "Who attests?"}],
    });

    let answer = fleet
        .caller("e1")
        .post("/v1/chat/completions", body.to_string())
        .send();

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.text(), expected("user: Who attests?\n", 12));
    assert_eq!(answer.json()["usage"]["completion_tokens"], 12);
}

#[test]
fn calls_a_plain_service() {
    let fleet = small_fleet();

    let answer = fleet
        .caller("e1")
        .call("balances", &json!({"account": 7}))
        .send();

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.json()["method"], "balances");
}

#[test]
fn refuses_bad_input_with_a_clear_error() {
    let fleet = small_fleet();
    let caller = fleet.caller("e1");
    let unknown = json!({"model": "m9", "prompt": "x"}).to_string();

    let broken = caller.clone().post("/v1/completions", "{\"model\":").send();
    let no_model = caller.clone().post("/v1/completions", unknown).send();
    let no_key = caller
        .clone()
        .complete("x", 1)
        .header("authorization", "Bearer no")
        .send();
    let no_route = caller.clone().post("/v1/nothing", "{}").send();
    let no_method = caller.clone().call("payouts", &json!({})).send();
    let huge = caller.clone().complete(&"x".repeat(17 << 20), 1).send();
    let beyond = caller.clone().complete(&"x".repeat(6 << 20), 1).send();

    assert_refused(&broken, 400, "bad_request");
    assert_refused(&no_model, 404, "unknown_model");
    assert_refused(&no_key, 401, "unauthorized");
    assert_refused(&no_route, 404, "unknown_route");
    assert_refused(&no_method, 404, "unknown_route");
    assert!(huge.status == 413 || huge.status == 0, "{}", huge.body);
    assert_refused(&beyond, 413, "prompt_too_long");
    let metrics = caller.get("/metrics").send().body;
    assert!(metrics.contains("reason=\"unauthorized\"} 1"), "{metrics}");
}

#[test]
fn frees_the_engine_when_the_caller_disconnects() {
    let fleet = small_fleet();
    let before = fleet.free_memory("a");
    let mut stream = fleet
        .caller("e1")
        .complete(&prompt(2_000), 1_500)
        .open()
        .expect("connects");
    fleet.wait_until("the engine works", |fleet| fleet.free_memory("a") < before);

    stream.flush().expect("flushes");
    drop(stream);

    fleet.wait_until("memory is free again", |fleet| {
        fleet.free_memory("a") == before
    });
}

#[test]
fn a_refusal_for_lack_of_time_is_immediate_and_has_retry_after() {
    let fleet = small_fleet();
    fleet.set_faults("s-service", "{\"delay_ms\": 0}");

    let answer = fleet
        .caller("e1")
        .complete("x", 100_000)
        .header("x-timeout-ms", "2000")
        .send();

    assert_refused(&answer, 429, "no_time");
    assert!(answer.retry_after.is_some_and(|seconds| seconds > 0));
}
