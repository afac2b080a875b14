//! Kills, freezes and planned stops in the middle of answers.

use std::thread;
use std::thread::JoinHandle;

use jujube_emulator::engine::core::answer::expected;
use nix::sys::signal::Signal;

use crate::answer::Answer;
use crate::fleet::Fleet;

const TOKENS: u64 = 600;

fn two_engines() -> Fleet {
    let fleet = Fleet::new().speed(10).engine("a").engine("b").entry("e1");
    fleet.until("both agents are known", |fleet| {
        fleet.agents_known("e1") == 2
    });
    fleet
}

fn prompt(number: u64) -> String {
    format!("bundle of mutations {number} ").repeat(200)
}

fn answers(fleet: &Fleet, count: u64) -> Vec<JoinHandle<Answer>> {
    let callers = (0..count).map(|number| fleet.caller("e1").complete(&prompt(number), TOKENS));
    callers
        .map(|caller| thread::spawn(move || caller.send()))
        .collect()
}

fn working(fleet: &Fleet, name: &str) -> bool {
    let list = fleet.get(&format!("{name}-engine"), "/v1/sequences");
    list["sequences"]
        .as_array()
        .is_some_and(|sequences| !sequences.is_empty())
}

fn assert_all_whole(fleet: &Fleet, answers: Vec<JoinHandle<Answer>>) {
    for (number, answer) in answers.into_iter().enumerate() {
        let answer = answer.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{}\n{}", answer.body, fleet.logs());
        assert!(answer.is_whole(), "request {number}\n{}", fleet.logs());
        assert_eq!(
            answer.text(),
            expected(&prompt(number as u64), TOKENS),
            "request {number}"
        );
    }
}

#[test]
fn an_answer_goes_on_elsewhere_when_its_engine_dies() {
    let mut fleet = two_engines();
    let callers = answers(&fleet, 12);
    fleet.until("both engines work", |fleet| {
        working(fleet, "a") && working(fleet, "b")
    });

    fleet.kill("a-engine");

    assert_all_whole(&fleet, callers);
}

#[test]
fn an_answer_goes_on_elsewhere_when_its_agent_dies() {
    let mut fleet = two_engines();
    let before = fleet.free_memory("a");
    let callers = answers(&fleet, 12);
    fleet.until("both engines work", |fleet| {
        working(fleet, "a") && working(fleet, "b")
    });

    fleet.kill("a-agent");
    fleet.restart("a-agent");

    assert_all_whole(&fleet, callers);
    fleet.until("no memory is lost", |fleet| {
        fleet.free_memory("a") == before
    });
}

#[test]
fn an_answer_goes_on_elsewhere_when_its_agent_freezes() {
    let fleet = two_engines();
    let before = fleet.free_memory("a");
    let callers = answers(&fleet, 12);
    fleet.until("both engines work", |fleet| {
        working(fleet, "a") && working(fleet, "b")
    });

    fleet.signal("a-agent", Signal::SIGSTOP);

    assert_all_whole(&fleet, callers);
    fleet.signal("a-agent", Signal::SIGCONT);
    fleet.until("no memory is lost", |fleet| {
        fleet.free_memory("a") == before
    });
}

#[test]
fn a_planned_stop_of_an_agent_cuts_no_answer() {
    let mut fleet = two_engines();
    let callers = answers(&fleet, 12);
    fleet.until("both engines work", |fleet| {
        working(fleet, "a") && working(fleet, "b")
    });

    fleet.signal("a-agent", Signal::SIGTERM);
    fleet.signal("a-agent", Signal::SIGTERM);

    assert_all_whole(&fleet, callers);
    assert!(fleet.wait("a-agent"), "the agent ends by itself");
}

#[test]
fn memory_is_free_again_when_the_entry_dies() {
    let mut fleet = two_engines();
    let before = (fleet.free_memory("a"), fleet.free_memory("b"));
    let callers = answers(&fleet, 6);
    fleet.until("an engine works", |fleet| {
        working(fleet, "a") || working(fleet, "b")
    });

    fleet.kill("e1");

    for caller in callers {
        assert!(!caller.join().expect("the caller ends").is_whole());
    }
    fleet.until("no memory is lost", |fleet| {
        (fleet.free_memory("a"), fleet.free_memory("b")) == before
    });
}
