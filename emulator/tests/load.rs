//! The load generator against a small entry that answers well or badly.

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
    Whole,
    Gap,
    NoEnd,
    Refuse,
}

struct Entry(Behaviour);

impl Handler for Entry {
    async fn handle(self: Rc<Self>, call: Call) -> Result<Reply, HangUp> {
        let request: CompletionRequest = call.json().map_err(|_| HangUp)?;
        let text = answer::expected(&request.prompt, request.max_tokens.unwrap_or(0));
        let (head, tail) = text.split_at(answer::TOKEN_BYTES);
        let lines = match self.0 {
            Behaviour::Whole => vec![event(head), event(tail), "[DONE]".to_owned()],
            Behaviour::Gap => vec![event(tail), "[DONE]".to_owned()],
            Behaviour::NoEnd => vec![event(head), event(tail)],
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
        lengths: "1000:3,20000:1".parse().expect("a mix"),
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

fn kinds(report: &Report) -> Vec<(&str, u64)> {
    let failures = report.failures();
    failures
        .map(|(kind, count)| (kind.as_str(), count))
        .collect()
}

#[test]
fn whole_answers_are_served_and_timed_by_decade() {
    let report = run(Behaviour::Whole);

    assert_eq!((report.served(), report.failed()), (20, 0));
    assert!(report.first_token(4, 0.5).is_some());
    assert!(report.first_token(5, 0.5).is_none());
}

#[test]
fn quantiles_are_those_of_the_times_in_a_decade() {
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
    let gap = run(Behaviour::Gap);
    let cut = run(Behaviour::NoEnd);
    let refused = run(Behaviour::Refuse);

    assert_eq!(kinds(&gap), [("wrong_answer", 20)]);
    assert_eq!(kinds(&cut), [("broken_stream", 20)]);
    assert_eq!(kinds(&refused), [("queue_full", 20)]);
    assert_eq!(
        (gap.bad_answers(), cut.bad_answers(), refused.bad_answers()),
        (20, 20, 0)
    );
}

#[test]
fn a_plan_follows_from_its_seed() {
    let other = LoadPlan { seed: 8, ..plan() };

    assert!(plan().requests().eq(plan().requests()));
    assert!(!plan().requests().eq(other.requests()));
}

#[test]
fn a_mix_reads_what_it_writes() {
    let mix = LengthMix::default();

    let read: LengthMix = mix.to_string().parse().expect("a mix");

    assert_eq!(read, mix);
    assert!("0:1".parse::<LengthMix>().is_err());
    assert!("10:x".parse::<LengthMix>().is_err());
}
