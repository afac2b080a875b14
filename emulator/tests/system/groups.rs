//! Prompts that need the memory of several engines.

use std::thread;

use jujube_emulator::engine::core::answer::expected;

use crate::fleet::Fleet;

/// KV memory of each engine.
const MEMORY_TOKENS: u64 = 20_000;
/// Names of the engines.
const ENGINES: [&str; 3] = ["a", "b", "c"];

fn small_engines() -> Fleet {
    let fleet = Fleet::new().speed(50).memory(MEMORY_TOKENS);
    let fleet = fleet.engine("a").engine("b").engine("c").entry("e1");
    fleet.wait_until("all agents are known", |fleet| {
        fleet.agents_known("e1") == 3
    });
    fleet
}

/// Prompt that needs more than twice the memory of one engine.
fn long_prompt(number: u64) -> String {
    let text = format!("case file {number} of the district registrar, ");
    text.repeat(45_000 * 4 / text.len())
}

fn all_free(fleet: &Fleet) -> bool {
    ENGINES
        .iter()
        .all(|name| fleet.free_memory(name) == MEMORY_TOKENS)
}

#[test]
fn a_prompt_beyond_two_engines_is_answered_whole() {
    let fleet = small_engines();

    let answer = fleet.caller("e1").complete(&long_prompt(1), 20).send();

    assert_eq!(answer.status, 200, "{}\n{}", answer.body, fleet.logs());
    assert_eq!(answer.text(), expected(&long_prompt(1), 20));
    fleet.wait_until("no memory is lost", all_free);
}

#[test]
fn two_long_prompts_and_short_ones_all_complete() {
    let fleet = small_engines();
    let long = |number| {
        let caller = fleet.caller("e1").complete(&long_prompt(number), 20);
        thread::spawn(move || caller.send())
    };
    let long_answers = [long(1), long(2)];

    let short_answers: Vec<_> = (0..10)
        .map(|_| fleet.caller("e1").complete("lookup", 5).send())
        .collect();

    for answer in short_answers {
        assert_eq!(
            answer.text(),
            expected("lookup", 5),
            "{}\n{}",
            answer.body,
            fleet.logs()
        );
    }
    for (number, answer) in (1..).zip(long_answers) {
        let answer = answer.join().expect("the caller ends");
        assert_eq!(
            answer.text(),
            expected(&long_prompt(number), 20),
            "{}\n{}",
            answer.body,
            fleet.logs()
        );
    }
    fleet.wait_until("no memory is lost", all_free);
}

#[test]
fn no_part_leaks_when_the_entry_dies() {
    let mut fleet = small_engines();
    let caller = fleet.caller("e1").complete(&long_prompt(1), 1_000);
    let answer = thread::spawn(move || caller.send());
    fleet.wait_until("the parts are held", |fleet| !all_free(fleet));

    fleet.kill("e1");

    assert!(!answer.join().expect("the caller ends").is_complete());
    fleet.wait_until("no memory is lost", all_free);
}

#[test]
fn a_prompt_beyond_all_engines_is_refused_at_once() {
    let fleet = small_engines();
    let prompt = "x".repeat(60_000 * 4);

    let answer = fleet.caller("e1").complete(&prompt, 5).send();

    assert_eq!(
        (answer.status, answer.kind().as_str()),
        (413, "prompt_too_long"),
        "{}",
        answer.body
    );
    assert!(all_free(&fleet));
}
