//! The load generator against a fake entry that gives correct or faulty answers.

mod common;

use std::rc::Rc;

use common::block_on;
use common::listener;
use hyper::StatusCode;
use hyper::body::Bytes;
use jujube_emulator::engine::core::answer;
use jujube_emulator::http::Call;
use jujube_emulator::http::Handler;
use jujube_emulator::http::HangUp;
use jujube_emulator::http::Reply;
use jujube_emulator::http::RunningServer;
use jujube_emulator::http::json as reply;
use jujube_emulator::http::stream;
use jujube_emulator::load::LengthMix;
use jujube_emulator::load::LoadPlan;
use jujube_emulator::load::Outcome;
use jujube_emulator::load::Report;
use jujube_emulator::load::Target;
use jujubewind::types::Tokens;
use jujubewind::wire::openai::CompletionRequest;
use serde_json::json;

#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Correct,
    MissingText,
    MissingDone,
    Refuse,
}

struct Entry(Behaviour);

impl Handler for Entry {
    async fn handle(self: Rc<Self>, call: Call) -> Result<Reply, HangUp> {
        let request: CompletionRequest = call.json().map_err(|_| HangUp)?;
        let text = answer::expected(&request.prompt, request.max_tokens.unwrap_or(0));
        let (head, tail) = text.split_at(answer::TOKEN_BYTES);
        let lines = match self.0 {
            Behaviour::Correct => vec![event(head), event(tail), "[DONE]".to_owned()],
            Behaviour::MissingText => vec![event(tail), "[DONE]".to_owned()],
            Behaviour::MissingDone => vec![event(head), event(tail)],
            Behaviour::Refuse => return Ok(refusal()),
        };
        let (tx, rx) = flume::unbounded();
        for line in lines {
            let line = Bytes::from(format!("data: {line}\n\n"));
            tx.send(Ok(line)).map_err(|_| HangUp)?;
        }
        Ok(stream("text/event-stream", rx))
    }
}

fn event(text: &str) -> String {
    let choices = json!([{ "index": 0, "text": text }]);
    let event = json!({
        "id": "r", "object": "text_completion", "created": 0, "model": "m", "choices": choices,
    });
    event.to_string()
}

fn refusal() -> Reply {
    let error = json!({
        "kind": "queue_full", "message": "", "ran": "not_run", "remedy": "", "request_id": "",
    });
    reply(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": error }))
}

fn plan() -> LoadPlan {
    LoadPlan {
        count: 20,
        seed: 7,
        rate: 1_000.0,
        lengths: "1000:3,20000:1".parse().expect("a length mix"),
        max_tokens: 8,
    }
}

fn run(behaviour: Behaviour) -> Report {
    let entry = RunningServer::start(listener(), move |listener| {
        jujube_emulator::http::serve(listener, Rc::new(Entry(behaviour)))
    })
    .expect("the entry starts");
    let target = Target {
        url: entry.url(),
        key: "secret".to_owned(),
        model: "m".to_owned(),
    };
    block_on(jujube_emulator::load::run(target, plan())).expect("a report")
}

fn failure_kinds(report: &Report) -> Vec<(&str, u64)> {
    let failures = report.failures();
    failures
        .map(|(kind, count)| (kind.as_str(), count))
        .collect()
}

#[test]
fn correct_answers_are_served_and_timed_by_decade() {
    let report = run(Behaviour::Correct);

    assert_eq!((report.served(), report.failed()), (20, 0));
    assert!(report.first_token(4, 0.5).is_some());
    assert!(report.first_token(5, 0.5).is_none());
}

#[test]
fn quantiles_are_computed_per_decade() {
    let mut report = Report::default();
    let outcome = |length, micros| Outcome {
        length: Tokens(length),
        first_token: Some(micros),
        total: 2 * micros,
        failure: None,
    };

    for number in 1..=100 {
        report.add(&outcome(1_000, number * 1_000));
        report.add(&outcome(100_000, number * 100_000));
    }

    insta::assert_snapshot!(report, @r"
          prompt tokens  answers     p50 ms     p95 ms     p99 ms
            1000..10000      100       50.0       95.0       99.0
        100000..1000000      100     5001.2     9502.7     9904.1
    served 200 failed 0
    ");
}

#[test]
fn bad_answers_are_counted_by_kind() {
    let missing_text = run(Behaviour::MissingText);
    let missing_done = run(Behaviour::MissingDone);
    let refused = run(Behaviour::Refuse);

    assert_eq!(failure_kinds(&missing_text), [("wrong_answer", 20)]);
    assert_eq!(failure_kinds(&missing_done), [("broken_stream", 20)]);
    assert_eq!(failure_kinds(&refused), [("queue_full", 20)]);
    assert_eq!(
        (
            missing_text.bad_answers(),
            missing_done.bad_answers(),
            refused.bad_answers()
        ),
        (20, 20, 0)
    );
}

#[test]
fn a_plan_is_determined_by_its_seed() {
    let other = LoadPlan { seed: 8, ..plan() };

    assert!(plan().requests().eq(plan().requests()));
    assert!(!plan().requests().eq(other.requests()));
}

#[test]
fn a_length_mix_parses_its_own_text() {
    let mix = LengthMix::default();

    let parsed: LengthMix = mix.to_string().parse().expect("a length mix");

    assert_eq!(parsed, mix);
    assert!("0:1".parse::<LengthMix>().is_err());
    assert!("10:x".parse::<LengthMix>().is_err());
}
