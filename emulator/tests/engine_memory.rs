//! The engine core in virtual time: memory, prefix cache, exports, crashes and orders.

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
fn a_repeated_prompt_is_served_from_the_cache() {
    let mut engine = engine();
    let prompt = text(20_000, "ledger ");
    let cold = engine
        .submit(START, submit("a", &prompt, 4))
        .expect("accepted");
    let cold_events = run_until_idle(&mut engine);
    let later = cold_events.last().expect("an end").0;

    let warm = engine
        .submit(later, submit("b", &prompt, 4))
        .expect("accepted");
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
fn only_sequences_that_fit_in_memory_run_concurrently() {
    let mut engine = engine();
    for number in 0..4 {
        let prompt = text(150_000, &format!("file {number} "));
        engine
            .submit(START, submit(&number.to_string(), &prompt, 10))
            .expect("accepted");
    }

    let mut max_running = 0;
    while engine.next_event() < MonoTime::NEVER {
        let now = engine.next_event();
        engine.step(now, &mut Vec::new());
        max_running = max_running.max(engine.current_load().running);
    }

    assert_eq!(max_running, 2);
}

#[test]
fn a_prompt_larger_than_the_memory_needs_reserved_parts() {
    let mut engine = engine();
    let prompt = Prompt::synthetic(7, Tokens(1_000_000), [].into(), 10);
    let mut request = submit("a", "", 10);
    request.prompt = prompt;

    let alone = engine.submit(START, request.clone());
    let reserved = engine.reserve_part(START, "g", Tokens(350_000), Millis(1_000_000));
    request.group = Some("g".to_owned());
    let grouped = engine.submit(START, request);

    assert_eq!(alone, Err(Error::TooLong));
    assert_eq!(reserved, Ok(()));
    let events = run_until_idle(&mut engine);
    assert!(first_token(&events, grouped.expect("accepted")).is_some());
    assert_eq!(engine.free(), 400_000);
}

#[test]
fn a_part_expires_after_its_ttl() {
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
fn an_export_frees_memory_and_an_import_resumes_without_a_gap() {
    let mut engine = engine();
    let key = engine
        .submit(START, submit("a", "a question", 30))
        .expect("accepted");
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
fn a_crashing_prompt_fails_all_sequences_of_the_engine() {
    let mut engine = engine();
    engine
        .submit(START, submit("a", "a question", 500))
        .expect("accepted");
    engine
        .submit(START, submit("b", POISON, 10))
        .expect("accepted");

    let events = run_until_idle(&mut engine);

    let is_crash = |output: &Output| {
        matches!(
            output,
            Output::Failed {
                error: Error::Crashed,
                ..
            }
        )
    };
    assert_eq!(
        events.iter().filter(|(_, output)| is_crash(output)).count(),
        2
    );
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
fn a_stale_fence_is_refused_unless_the_engine_ignores_fences() {
    let mut engine = engine();
    let order = |fence, name: &str| Order {
        fence,
        kind: OrderKind::LoadModel,
        name: name.to_owned(),
        version: None,
    };
    engine
        .execute_order(START, &order(5, "n"))
        .expect("executed");

    let refused = engine.execute_order(START, &order(4, "o"));
    engine.set_faults(EngineFaults {
        ignore_fences: true,
        ..EngineFaults::default()
    });
    let executed = engine.execute_order(START, &order(4, "o"));

    assert_eq!(refused, Err(Error::StaleFence));
    assert_eq!(executed.expect("executed").loaded, ["m", "n", "o"]);
}

#[test]
fn cache_events_are_delayed_and_have_gaps() {
    let mut engine = engine();
    engine.set_faults(EngineFaults {
        gap_events: 3,
        event_lag_ms: Millis(1_000),
        ..EngineFaults::default()
    });
    engine
        .submit(START, submit("a", &text(5_120, "page "), 1))
        .expect("accepted");
    let end = run_until_idle(&mut engine).last().expect("an end").0;

    let early = engine.cache_events(end, 0);
    let late = engine.cache_events(end.after(Millis(1_000)), 0);

    assert!(early.events.is_empty());
    let numbers: Vec<u64> = late.events.iter().map(|event| event.seq).collect();
    assert_eq!(numbers, [1, 2, 4, 5, 7, 8, 10]);
}
