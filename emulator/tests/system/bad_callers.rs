//! Callers that are slow, disconnect early or send too much must not leak resources.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use jujubewind::refusal::Reason;
use serde_json::json;

use crate::answer::Answer;
use crate::caller::Caller;
use crate::caller::read;
use crate::declaration::KEY;
use crate::fleet::Fleet;

/// Maximum body size of the entry.
const BODY_BYTES: usize = 65_536;
/// Timeout of the entry for the arrival of a body.
const ARRIVAL_MILLIS: u64 = 1_000;
/// Interval between two bytes of a slow caller.
const BYTE_INTERVAL: Duration = Duration::from_millis(100);

fn fleet() -> Fleet {
    let mut fleet = Fleet::new().engine("a");
    fleet.entry_settings = format!("body: {BODY_BYTES}\narrival: {ARRIVAL_MILLIS}\n");
    let fleet = fleet.entry("e1");
    fleet.wait_until("the agent is known", |fleet| fleet.agents_known("e1") == 1);
    fleet
}

fn head(length: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: t\r\nauthorization: Bearer {KEY}\r\n{length}\r\n\r\n"
    )
}

fn metrics(fleet: &Fleet, name: &str) -> String {
    Caller::new(fleet.addr(name)).get("/metrics").send().body
}

/// Sends single bytes until the server closes the connection.
fn send_slowly(stream: &TcpStream) -> thread::JoinHandle<()> {
    let mut stream = stream.try_clone().expect("the socket can be shared");
    thread::spawn(move || {
        while stream.write_all(b"x").is_ok() {
            thread::sleep(BYTE_INTERVAL);
        }
    })
}

fn assert_resources_freed(fleet: &Fleet, free: u64) {
    fleet.wait_until("the engine is free", |fleet| fleet.free_memory("a") == free);
    fleet.wait_until("the agent holds nothing", |fleet| {
        let text = metrics(fleet, "a-admin");
        let has = |line: &str| text.lines().any(|known| known == line);
        has("jujube_agent_open 0") && has("jujube_agent_reserved_tokens 0")
    });
}

fn assert_counted(fleet: &Fleet, answer: &Answer, kind: &str) {
    assert_eq!(
        (answer.kind().as_str(), answer.ran().as_str()),
        (kind, "not_run")
    );
    let line = format!("jujube_entry_refusals_total{{reason=\"{kind}\"}} 1");
    let text = metrics(fleet, "e1");
    assert!(text.lines().any(|known| known == line), "{text}");
}

#[test]
fn a_slow_header_is_cut_off() {
    let fleet = fleet();
    let free = fleet.free_memory("a");
    let mut stream = fleet.caller("e1").connect();

    stream
        .write_all(b"POST /v1/completions HTTP/1.1\r\nx-slow: ")
        .expect("writes");
    let sender = send_slowly(&stream);

    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);
    let is_reset = ended.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset);
    let text = String::from_utf8_lossy(&answer);
    assert!(is_reset || !text.contains(" 200 "), "{text}");
    sender
        .join()
        .expect("the sender ends when the server closes");
    assert_resources_freed(&fleet, free);
}

#[test]
fn a_slow_body_is_refused_and_counted() {
    let fleet = fleet();
    let free = fleet.free_memory("a");
    let mut stream = fleet.caller("e1").connect();

    stream
        .write_all(head("content-length: 50000").as_bytes())
        .expect("writes");
    let sender = send_slowly(&stream);
    let answer = read(stream);

    assert_counted(&fleet, &answer, "body_too_slow");
    sender
        .join()
        .expect("the sender ends when the server closes");
    assert_resources_freed(&fleet, free);
}

#[test]
fn a_chunked_body_over_the_limit_is_refused_and_counted() {
    let fleet = fleet();
    let free = fleet.free_memory("a");
    let mut stream = fleet.caller("e1").connect();

    let size = BODY_BYTES + 1;
    let chunk = format!("{size:x}\r\n{}", "x".repeat(size));
    let request = head("transfer-encoding: chunked") + &chunk;
    stream.write_all(request.as_bytes()).expect("writes");
    let answer = read(stream);

    assert_eq!(answer.status, 413, "{}", answer.body);
    assert_counted(&fleet, &answer, "body_too_large");
    assert_resources_freed(&fleet, free);
}

#[test]
fn a_caller_that_disconnects_from_an_unstreamed_answer_frees_the_engine() {
    let fleet = fleet();
    let free = fleet.free_memory("a");
    // At this speed the answer takes longer than the test waits.
    fleet.set_faults("a-engine", "{\"slow\": 30}");
    let body = json!({"model": "m1", "prompt": "deed ".repeat(4_000), "max_tokens": 1_500});
    let caller = fleet.caller("e1").post("/v1/completions", body.to_string());
    let stream = caller.open().expect("connects");
    fleet.wait_until("the engine works", |fleet| fleet.free_memory("a") < free);

    drop(stream);

    assert_resources_freed(&fleet, free);
}

#[test]
fn every_reason_has_its_counters() {
    let fleet = fleet();

    let entry = metrics(&fleet, "e1");
    let agent = metrics(&fleet, "a-admin");

    for reason in Reason::ALL {
        let label = format!("{{reason=\"{reason}\"}} 0");
        assert!(
            entry.contains(&format!("jujube_entry_refusals_total{label}")),
            "{reason}"
        );
        assert!(
            entry.contains(&format!("jujube_entry_retries_total{label}")),
            "{reason}"
        );
        assert!(
            agent.contains(&format!("jujube_agent_refusals_total{label}")),
            "{reason}"
        );
    }
}
