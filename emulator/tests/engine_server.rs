//! The engine over HTTP, and its faults.

mod common;

use common::block_on;
use common::engine;
use common::get;
use common::is_pending;
use common::post;
use common::post_json;
use futures::StreamExt;
use futures::future::join;
use hyper::StatusCode;
use jujube_emulator::engine::core::POISON;
use jujube_emulator::engine::core::answer;
use jujube_emulator::http::RunningServer;
use jujubewind::wire::engine::GenerateEvent;
use serde_json::Value;
use serde_json::json;

fn request(id: &str, prompt: &str, max_tokens: u64, offset: u64) -> Value {
    json!({
        "model": "m", "prompt": prompt, "max_tokens": max_tokens,
        "priority": 0, "request_id": id, "offset": offset,
    })
}

fn stream_text(stream: &str) -> String {
    let lines = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let events = lines.filter_map(|line| serde_json::from_str::<GenerateEvent>(line).ok());
    events.map(|event| event.text).collect()
}

/// Opens a stream and waits for its first event; returns the rest of the stream.
async fn open(
    server: &RunningServer,
    body: &Value,
) -> impl futures::Stream<Item = cyper::Result<compio::bytes::Bytes>> + use<> {
    let client = cyper::Client::new().expect("a client");
    let url = server.url() + "/v1/completions";
    let request = client.post(url).expect("a URL").json(body).expect("JSON");
    let mut stream = request.send().await.expect("an answer").bytes_stream();
    stream.next().await.expect("an event").expect("no error");
    stream
}

async fn set_slowdown(server: &RunningServer, factor: f64) {
    let answer = post(server, "/faults", &json!({ "slow": factor })).await;
    assert!(answer.is_some_and(|(status, _)| status == StatusCode::OK));
}

#[test]
fn an_answer_is_streamed_in_full_and_resumes_at_an_offset() {
    let server = engine();

    let (full, rest) = block_on(async {
        let full = post(&server, "/v1/completions", &request("a", "hello", 30, 0)).await;
        let rest = post(&server, "/v1/completions", &request("b", "hello", 30, 12)).await;
        (full.expect("an answer").1, rest.expect("an answer").1)
    });

    let expected = answer::expected("hello", 30);
    assert_eq!(stream_text(&full), expected);
    assert_eq!(stream_text(&rest), expected[12 * answer::TOKEN_BYTES..]);
    assert!(full.ends_with("data: [DONE]\n\n"));
}

#[test]
fn refusals_carry_an_error_code() {
    let server = engine();
    let mut unknown = request("a", "hello", 3, 0);
    unknown["model"] = json!("x");

    let (unknown, long, broken) = block_on(async {
        let unknown = post(&server, "/v1/completions", &unknown).await;
        let long = post(&server, "/v1/completions", &request("b", "hi", 500_000, 0)).await;
        let broken = post(&server, "/v1/completions", &json!({ "model": 3 })).await;
        (
            unknown.expect("an answer"),
            long.expect("an answer"),
            broken.expect("an answer"),
        )
    });

    assert!(unknown.0 == StatusCode::NOT_FOUND && unknown.1.contains("unknown_model"));
    assert!(long.0 == StatusCode::PAYLOAD_TOO_LARGE && long.1.contains("too_long"));
    assert!(broken.0 == StatusCode::BAD_REQUEST && broken.1.contains("bad_request"));
}

#[test]
fn an_exported_sequence_continues_in_its_stream_after_import() {
    let server = engine();

    let (free, text) = block_on(async {
        set_slowdown(&server, 50.0).await;
        let body = request("a", "hello", 60, 0);
        let run = post(&server, "/v1/completions", &body);
        let pause = async {
            let mut handle = Value::Null;
            while handle.is_null() {
                let body = json!({ "request_id": "a" });
                handle = post_json(&server, "/v1/kv/export", &body).await["handle"].clone();
            }
            let list = get(&server, "/v1/sequences").await;
            set_slowdown(&server, 1.0).await;
            post_json(&server, "/v1/kv/import", &json!({ "handle": handle })).await;
            list["free"].clone()
        };
        let (run, free) = join(run, pause).await;
        (free, stream_text(&run.expect("an answer").1))
    });

    assert_eq!(free, 400_000);
    assert_eq!(text, answer::expected("hello", 60));
}

#[test]
fn a_crash_breaks_streams_and_loses_all_state() {
    let server = engine();

    let (chunk, list) = block_on(async {
        set_slowdown(&server, 50.0).await;
        let mut stream = open(&server, &request("a", "hello", 60, 0)).await;
        post(&server, "/faults", &json!({ "crash": "restart" }))
            .await
            .expect("an answer");
        let mut chunk = stream.next().await;
        while let Some(Ok(_)) = chunk {
            chunk = stream.next().await;
        }
        let mut list = get(&server, "/v1/sequences").await;
        while list.get("error").is_some() {
            list = get(&server, "/v1/sequences").await;
        }
        (chunk, list)
    });

    assert!(matches!(chunk, Some(Err(_))));
    assert_eq!(list["incarnation"], 2);
    assert_eq!(list["sequences"], json!([]));
}

#[test]
fn a_crashing_prompt_breaks_its_stream() {
    let server = engine();

    let answer = block_on(post(
        &server,
        "/v1/completions",
        &request("a", POISON, 9, 0),
    ));

    assert_eq!(answer, None);
}

#[test]
fn dropped_streams_leave_their_sequences_running() {
    let server = engine();

    let (broken, state) = block_on(async {
        set_slowdown(&server, 50.0).await;
        let mut stream = open(&server, &request("a", "hello", 1_000, 0)).await;
        post(&server, "/faults", &json!({ "drop_streams": true })).await;
        let mut chunk = stream.next().await;
        while let Some(Ok(_)) = chunk {
            chunk = stream.next().await;
        }
        let list = get(&server, "/v1/sequences").await;
        (chunk, list["sequences"][0]["state"].clone())
    });

    assert!(matches!(broken, Some(Err(_))));
    assert_eq!(state, "running");
}

#[test]
fn a_disconnected_reader_ends_its_sequence() {
    let server = engine();

    block_on(async {
        let stream = open(&server, &request("a", "hello", 1_000, 0)).await;
        drop(stream);
        while get(&server, "/v1/sequences").await["sequences"] != json!([]) {}
    });
}

#[test]
fn unknown_faults_are_refused() {
    let server = engine();

    let (status, _) =
        block_on(post(&server, "/faults", &json!({ "melt": true }))).expect("an answer");

    assert_eq!(status, StatusCode::BAD_REQUEST);
}

#[test]
fn a_frozen_engine_does_not_answer_until_the_freeze_ends() {
    let server = engine();

    let (is_waiting, answer) = block_on(async {
        // Five seconds at the engine's speed.
        post(&server, "/faults", &json!({ "freeze_ms": 100_000 })).await;
        let body = request("a", "hello", 5, 0);
        let mut call = Box::pin(post(&server, "/v1/completions", &body));
        let is_waiting = is_pending(&mut call).await;
        (is_waiting, call.await)
    });

    assert!(is_waiting);
    assert_eq!(
        stream_text(&answer.expect("an answer").1),
        answer::expected("hello", 5)
    );
}

#[test]
fn the_published_load_lags_by_the_configured_time() {
    let server = engine();

    let (fresh, old) = block_on(async {
        get(&server, "/v1/load").await;
        set_slowdown(&server, 1_000.0).await;
        post(&server, "/faults", &json!({ "load_lag_ms": 0 })).await;
        let body = request("a", "hello", 5_000, 0);
        let _stream = open(&server, &body).await;
        let mut fresh = get(&server, "/v1/load").await;
        while fresh["running"] == 0 {
            compio::time::sleep(std::time::Duration::from_millis(20)).await;
            fresh = get(&server, "/v1/load").await;
        }
        post(&server, "/faults", &json!({ "load_lag_ms": 3_600_000 })).await;
        (fresh, get(&server, "/v1/load").await)
    });

    assert_eq!((&fresh["running"], &old["running"]), (&json!(1), &json!(0)));
    assert!(old["free"].as_u64() > fresh["free"].as_u64());
}
