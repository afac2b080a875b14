//! Crashes, freezes and planned stops while answers are streamed.

use std::thread;
use std::thread::JoinHandle;

use jujube_emulator::engine::core::answer::expected;
use nix::sys::signal::Signal;

use crate::answer::Answer;
use crate::fleet::Fleet;

/// Length of each answer.
const TOKENS: u64 = 600;
/// Callers of a test, unless all of them are placed on one engine.
const CALLERS: u64 = 12;
/// Maximum number of callers to reach both engines.
const MAX_CALLERS: u64 = 36;
/// Slowdown factor that keeps answers running until both engines work.
const SLOWDOWN: u32 = 30;

fn two_engines() -> Fleet {
    let fleet = Fleet::new().speed(10).engine("a").engine("b").entry("e1");
    fleet.wait_until("both agents are known", |fleet| {
        fleet.agents_known("e1") == 2
    });
    fleet
}

fn prompt(number: u64) -> String {
    format!("bundle of mutations {number} ").repeat(200)
}

fn start_request(fleet: &Fleet, number: u64) -> JoinHandle<Answer> {
    let caller = fleet.caller("e1").complete(&prompt(number), TOKENS);
    thread::spawn(move || caller.send())
}

fn set_slowdown(fleet: &Fleet, factor: u32) {
    for engine in ["a-engine", "b-engine"] {
        fleet.set_faults(engine, &format!("{{\"slow\": {factor}}}"));
    }
}

/// Starts requests until both engines work; each is placed before the next is sent.
fn start_on_both_engines(fleet: &Fleet) -> Vec<JoinHandle<Answer>> {
    set_slowdown(fleet, SLOWDOWN);
    let mut callers = Vec::new();
    for number in 0..MAX_CALLERS {
        if number >= CALLERS && sequences(fleet, "a") > 0 && sequences(fleet, "b") > 0 {
            break;
        }
        callers.push(start_request(fleet, number));
        fleet.wait_until("the request is placed", |fleet| {
            sequences(fleet, "a") + sequences(fleet, "b") == callers.len()
        });
    }
    assert!(sequences(fleet, "a") > 0, "a works\n{}", fleet.logs());
    assert!(sequences(fleet, "b") > 0, "b works\n{}", fleet.logs());
    set_slowdown(fleet, 1);
    callers
}

fn sequences(fleet: &Fleet, name: &str) -> usize {
    let list = fleet.get(&format!("{name}-engine"), "/v1/sequences");
    list["sequences"].as_array().map_or(0, Vec::len)
}

fn assert_all_complete(fleet: &Fleet, answers: Vec<JoinHandle<Answer>>) {
    for (number, answer) in answers.into_iter().enumerate() {
        let answer = answer.join().expect("the caller ends");
        assert_eq!(answer.status, 200, "{}\n{}", answer.body, fleet.logs());
        assert!(answer.is_complete(), "request {number}\n{}", fleet.logs());
        assert_eq!(
            answer.text(),
            expected(&prompt(number as u64), TOKENS),
            "request {number}"
        );
    }
}

#[test]
fn an_answer_resumes_on_another_engine_when_its_engine_dies() {
    let mut fleet = two_engines();
    let callers = start_on_both_engines(&fleet);

    fleet.kill("a-engine");

    assert_all_complete(&fleet, callers);
}

#[test]
fn an_answer_resumes_on_another_engine_when_its_agent_dies() {
    let mut fleet = two_engines();
    let before = fleet.free_memory("a");
    let callers = start_on_both_engines(&fleet);

    fleet.kill("a-agent");
    fleet.restart("a-agent");

    assert_all_complete(&fleet, callers);
    fleet.wait_until("no memory is lost", |fleet| {
        fleet.free_memory("a") == before
    });
}

#[test]
fn an_answer_resumes_on_another_engine_when_its_agent_freezes() {
    let fleet = two_engines();
    let before = fleet.free_memory("a");
    let callers = start_on_both_engines(&fleet);

    fleet.signal("a-agent", Signal::SIGSTOP);

    assert_all_complete(&fleet, callers);
    fleet.signal("a-agent", Signal::SIGCONT);
    fleet.wait_until("no memory is lost", |fleet| {
        fleet.free_memory("a") == before
    });
}

#[test]
fn a_planned_stop_of_an_agent_cuts_no_answer() {
    let mut fleet = two_engines();
    let callers = start_on_both_engines(&fleet);

    fleet.signal("a-agent", Signal::SIGTERM);
    fleet.signal("a-agent", Signal::SIGTERM);

    assert_all_complete(&fleet, callers);
    assert!(fleet.wait("a-agent"), "the agent ends by itself");
}

#[test]
fn memory_is_free_again_when_the_entry_dies() {
    let mut fleet = two_engines();
    let before = (fleet.free_memory("a"), fleet.free_memory("b"));
    set_slowdown(&fleet, SLOWDOWN);
    let callers: Vec<_> = (0..6).map(|number| start_request(&fleet, number)).collect();
    fleet.wait_until("an engine works", |fleet| {
        sequences(fleet, "a") + sequences(fleet, "b") > 0
    });

    fleet.kill("e1");

    for caller in callers {
        assert!(!caller.join().expect("the caller ends").is_complete());
    }
    fleet.wait_until("no memory is lost", |fleet| {
        (fleet.free_memory("a"), fleet.free_memory("b")) == before
    });
}
