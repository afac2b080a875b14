//! The engine's core in virtual time: memory, cache, exports, crashes and orders.

mod common;

use common::virtual_time::START;
use common::virtual_time::engine;
use common::virtual_time::first_token;
use common::virtual_time::run_until_idle;
use common::virtual_time::submit;
use common::virtual_time::text;
use jujube_emulator::engine::core::EngineFaults;
use jujube_emulator::engine::core::Error;
use jujube_emulator::engine::core::Output;
use jujube_emulator::engine::core::POISON;
use jujube_emulator::engine::core::Prompt;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::types::Tokens;
use jujubewind::wire::engine::Order;
use jujubewind::wire::engine::OrderKind;

#[test]
fn a_second_equal_prompt_is_found_in_the_cache() {
    let mut engine = engine();
    let prompt = text(20_000, "ledger ");
    let cold = engine
        .submit(START, submit("a", &prompt, 4))
        .expect("taken");
    let cold_events = run_until_idle(&mut engine);
    let later = cold_events.last().expect("an end").0;

    let warm = engine
        .submit(later, submit("b", &prompt, 4))
        .expect("taken");
    let warm_events = run_until_idle(&mut engine);

    let cold_time = first_token(&cold_events, cold).expect("a token");
    let warm_time = first_token(&warm_events, warm)
        .expect("a token")
        .saturating_sub(later.since(START));
    assert!(
        warm_time.get() * 10 < cold_time.get(),
        "{warm_time} {cold_time}"
    );
}

#[test]
fn only_what_fits_runs_at_once() {
    let mut engine = engine();
    for number in 0..4 {
        let prompt = text(150_000, &format!("file {number} "));
        engine
            .submit(START, submit(&number.to_string(), &prompt, 10))
            .expect("taken");
    }

    let mut most = 0;
    while engine.next_event() < MonoTime::NEVER {
        let now = engine.next_event();
        engine.step(now, &mut Vec::new());
        most = most.max(engine.current_load().running);
    }

    assert_eq!(most, 2);
}

#[test]
fn a_prompt_beyond_the_memory_is_refused_unless_parts_hold_it() {
    let mut engine = engine();
    let prompt = Prompt::synthetic(7, Tokens(1_000_000), [].into(), 10);
    let mut wanted = submit("a", "", 10);
    wanted.prompt = prompt;

    let alone = engine.submit(START, wanted.clone());
    let reserved = engine.reserve_part(START, "g", Tokens(350_000), Millis(1_000_000));
    wanted.group = Some("g".to_owned());
    let grouped = engine.submit(START, wanted);

    assert_eq!(alone, Err(Error::TooLong));
    assert_eq!(reserved, Ok(()));
    let events = run_until_idle(&mut engine);
    assert!(first_token(&events, grouped.expect("taken")).is_some());
    assert_eq!(engine.free(), 400_000);
}

#[test]
fn a_part_expires_by_itself() {
    let mut engine = engine();
    engine
        .reserve_part(START, "g", Tokens(300_000), Millis(50))
        .expect("free");

    let refused = engine.reserve_part(START, "h", Tokens(300_000), Millis(50));
    let later = engine.reserve_part(START.after(Millis(50)), "h", Tokens(300_000), Millis(50));

    assert_eq!(refused, Err(Error::NoMemory));
    assert_eq!(later, Ok(()));
}

#[test]
fn an_export_frees_memory_and_an_import_goes_on_without_a_gap() {
    let mut engine = engine();
    let key = engine
        .submit(START, submit("a", "a question", 30))
        .expect("taken");
    let mut outputs = Vec::new();
    let middle = START.after(Millis(200));
    engine.step(middle, &mut outputs);

    let exported = engine.export(middle, "a").expect("exported");
    let free = engine.free();
    engine
        .import(middle.after(Millis(500)), &exported.handle)
        .expect("imported");

    outputs.extend(
        run_until_idle(&mut engine)
            .into_iter()
            .map(|(_, output)| output),
    );
    let offsets: Vec<u64> = outputs
        .iter()
        .filter_map(|output| match output {
            Output::Token { offset, .. } => Some(*offset),
            _ => None,
        })
        .collect();
    assert_eq!(free, 400_000);
    assert_eq!(offsets, (0..30).collect::<Vec<u64>>());
    assert!(matches!(outputs.last(), Some(Output::Finished { key: ended, .. }) if *ended == key));
}

#[test]
fn a_poisonous_prompt_crashes_the_engine_with_all_it_held() {
    let mut engine = engine();
    engine
        .submit(START, submit("a", "a question", 500))
        .expect("taken");
    engine
        .submit(START, submit("b", POISON, 10))
        .expect("taken");

    let events = run_until_idle(&mut engine);

    let lost = |output: &Output| {
        matches!(
            output,
            Output::Failed {
                error: Error::Crashed,
                ..
            }
        )
    };
    assert_eq!(events.iter().filter(|(_, output)| lost(output)).count(), 2);
    let crash = events.last().expect("an end").0;
    assert_eq!(engine.incarnation(), 2);
    assert_eq!(
        engine.submit(crash, submit("c", "again", 1)),
        Err(Error::Crashed)
    );
    assert!(
        engine
            .submit(crash.after(Millis(5_000)), submit("c", "again", 1))
            .is_ok()
    );
}

#[test]
fn an_old_fence_is_refused_unless_the_engine_ignores_fences() {
    let mut engine = engine();
    let order = |fence, name: &str| Order {
        fence,
        kind: OrderKind::LoadModel,
        name: name.to_owned(),
        version: None,
    };
    engine.execute_order(START, &order(5, "n")).expect("obeyed");

    let refused = engine.execute_order(START, &order(4, "o"));
    engine.set_faults(EngineFaults {
        ignore_fences: true,
        ..EngineFaults::default()
    });
    let obeyed = engine.execute_order(START, &order(4, "o"));

    assert_eq!(refused, Err(Error::StaleFence));
    assert_eq!(obeyed.expect("obeyed").loaded, ["m", "n", "o"]);
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let mut engine = engine();
    engine.set_faults(EngineFaults {
        gap_events: 3,
        event_lag_ms: Millis(1_000),
        ..EngineFaults::default()
    });
    engine
        .submit(START, submit("a", &text(5_120, "page "), 1))
        .expect("taken");
    let end = run_until_idle(&mut engine).last().expect("an end").0;

    let early = engine.cache_events(end, 0);
    let late = engine.cache_events(end.after(Millis(1_000)), 0);

    assert!(early.events.is_empty());
    let numbers: Vec<u64> = late.events.iter().map(|event| event.seq).collect();
    assert_eq!(numbers, [1, 2, 4, 5, 7, 8, 10]);
}
