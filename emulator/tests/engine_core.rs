//! The engine core in virtual time: batching, output and cancellation.

mod common;

use common::virtual_time::START;
use common::virtual_time::engine;
use common::virtual_time::first_token;
use common::virtual_time::run_until_idle;
use common::virtual_time::submit;
use common::virtual_time::text;
use jujube_emulator::engine::core::Finish;
use jujube_emulator::engine::core::Output;
use jujube_emulator::engine::core::Prompt;
use jujube_emulator::engine::core::answer;
use jujubewind::types::Millis;
use jujubewind::wire::engine::CancelState;

fn prefill_time(tokens: u64) -> u64 {
    let mut engine = engine();
    let prompt = text(tokens, "deed of attorney ");
    let key = engine
        .submit(START, submit("a", &prompt, 1))
        .expect("accepted");
    let events = run_until_idle(&mut engine);
    first_token(&events, key).expect("a token").get()
}

#[test]
fn prefill_grows_faster_than_the_prompt() {
    let short = prefill_time(1_000);
    let long = prefill_time(100_000);

    assert!((50..=80).contains(&short), "{short} ms");
    assert!((8_000..=12_000).contains(&long), "{long} ms");
    assert!(long > 100 * short);
}

#[test]
fn token_gaps_of_a_batch_stay_within_32_ms() {
    let mut engine = engine();
    for number in 0..16 {
        let prompt = text(1_000, &format!("clerk {number} "));
        let id = number.to_string();
        engine
            .submit(START, submit(&id, &prompt, 64))
            .expect("accepted");
    }
    let long = text(200_000, "case file ");
    engine
        .submit(START, submit("long", &long, 8))
        .expect("accepted");

    let events = run_until_idle(&mut engine);

    let mut last = [START; 17];
    for (at, output) in events {
        let Output::Token { key, offset } = output else {
            continue;
        };
        let index = usize::try_from(key.0 - 1).expect("it fits");
        if offset > 0 {
            assert!(at.since(last[index]) <= Millis(32), "{at} {key:?}");
        }
        last[index] = at;
    }
}

#[test]
fn a_resumed_answer_continues_identically() {
    let full = answer::expected("a question", 40);

    let parts = [
        answer::tokens(Prompt::parse("a question").hash, 0, 15),
        answer::tokens(Prompt::parse("a question").hash, 15, 25),
    ];

    assert_eq!(full, parts.concat());
    assert_eq!(full.len(), 40 * answer::TOKEN_BYTES);
}

#[test]
fn a_sequence_starts_at_its_offset_and_ends_with_a_finish_reason() {
    let mut engine = engine();
    let mut request = submit("a", "a question", 20);
    request.offset = 5;
    engine.submit(START, request).expect("accepted");

    let events = run_until_idle(&mut engine);

    let offsets: Vec<u64> = events
        .iter()
        .filter_map(|(_, output)| match output {
            Output::Token { offset, .. } => Some(*offset),
            _ => None,
        })
        .collect();
    assert_eq!(offsets, (5..20).collect::<Vec<u64>>());
    let (_, end) = events.last().expect("an end");
    assert!(matches!(
        end,
        Output::Finished {
            reason: Finish::Length,
            ..
        }
    ));
    assert_eq!(engine.free(), 400_000);
}

#[test]
fn a_lower_priority_number_runs_first() {
    let mut engine = engine();
    let prompts: Vec<String> = (0..4)
        .map(|n| text(150_000, &format!("file {n} ")))
        .collect();
    for (number, prompt) in prompts.iter().enumerate() {
        let mut request = submit(&number.to_string(), prompt, 10);
        request.priority = -i64::try_from(number).expect("it fits");
        engine.submit(START, request).expect("accepted");
    }

    let events = run_until_idle(&mut engine);

    let order: Vec<u64> = events
        .iter()
        .filter_map(|(_, output)| match output {
            Output::Finished { key, .. } => Some(key.0),
            _ => None,
        })
        .collect();
    assert_eq!(order, [4, 3, 2, 1]);
}

#[test]
fn cancel_reports_the_state_of_the_sequence() {
    let mut engine = engine();
    let big = text(300_000, "bundle ");
    engine
        .submit(START, submit("runs", &big, 10))
        .expect("accepted");
    engine
        .submit(START, submit("waits", &text(300_000, "other "), 10))
        .expect("accepted");

    let waits = engine.cancel(START, "waits").0;
    let runs = engine.cancel(START, "runs").0;
    let again = engine.cancel(START, "runs").0;
    let never = engine.cancel(START, "never").0;

    assert_eq!(waits, CancelState::NotStarted);
    assert_eq!(runs, CancelState::Cancelled);
    assert_eq!(again, CancelState::Finished);
    assert_eq!(never, CancelState::Unknown);
    assert_eq!(engine.free(), 400_000);
}

#[test]
fn a_frozen_engine_emits_no_token_until_the_freeze_ends() {
    let mut engine = engine();
    let key = engine
        .submit(START, submit("a", "a question", 2))
        .expect("accepted");

    engine.freeze(START.after(Millis(10_000)));

    let events = run_until_idle(&mut engine);
    assert!(first_token(&events, key).expect("a token") >= Millis(10_000));
}
