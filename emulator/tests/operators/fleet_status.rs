//! `apply --wait`, `status` and `explain` against real processes.

use insta::assert_snapshot;
use jujubewind::catalogue::KeyHash;
use serde_json::json;

use crate::declaration::entry;
use crate::fleet::Fleet;

/// Starts a fleet whose entries apply a catalogue and know the agent.
fn ready_fleet() -> Fleet {
    let fleet = Fleet::start();
    let entries = [entry("a1", "office-a", 3)];
    let operator = fleet.platform.operator("anna").with_entries(&entries);
    let args = format!("--base 0 --wait --entries {}", fleet.entries());
    operator.apply(&args).expect_exit(0);
    fleet.wait_until("the engine takes requests", || {
        let output = fleet.explain("--org office-a --model summary --format json");
        output.code == 0 && output.json()["choice"]["nodes"].is_object()
    });
    fleet
}

#[test]
fn apply_waits_until_every_entry_has_the_change() {
    let fleet = ready_fleet();
    let entries = [entry("a1", "office-a", 4)];
    let operator = fleet.platform.operator("bela").with_entries(&entries);

    let args = format!(
        "--base 1 --format json --wait --entries {}",
        fleet.entries()
    );
    let output = operator.apply(&args).expect_exit(0).json();

    assert_eq!(output["revision"], 2);
    assert_eq!(output["wait"]["everywhere"], true);
    let status = fleet.status("--format json").expect_exit(0).json();
    let revisions = status["entries"].as_array().expect("a list").iter();
    let revisions: Vec<u64> = revisions
        .filter_map(|entry| entry["revision"].as_u64())
        .collect();
    assert_eq!(revisions, [2, 2]);
}

#[test]
fn an_entry_that_apply_does_not_wait_for_is_named() {
    let fleet = ready_fleet();
    let operator = fleet
        .platform
        .operator("bela")
        .with_entries(&[entry("a1", "office-a", 4)]);
    fleet.wait_until("the first entry knows the second", || {
        fleet.status("").stdout.contains("entry e2 in d1")
    });

    let args = format!("--base 1 --wait --entries {}", fleet.first_entry());
    let output = operator.apply(&args).expect_exit(0);

    assert!(
        output.stderr.contains("entry e2 is not waited for"),
        "{output:?}"
    );
}

#[test]
fn a_status_shows_roles_and_stopping_entries() {
    let fleet = ready_fleet();
    fleet.wait_until("both entries know the agent", || {
        let members = fleet.status("--format json").json()["members"].clone();
        let agent = members.as_array().and_then(|all| {
            let mut agents = all.iter().filter(|member| member["role"] == "agent");
            agents.next().cloned()
        });
        agent.is_some_and(|agent| agent["seen_by"] == json!(["e1", "e2"]))
    });

    fleet.stop_second_entry();

    fleet.wait_until("the second entry leaves", || {
        let output = fleet.status("").expect_exit(0);
        output.stdout.contains("stopping") || output.stdout.contains("entry e2 in d1, leaving")
    });
}

#[test]
fn an_explanation_names_entry_candidates_and_choice_but_no_key() {
    let fleet = ready_fleet();

    let text = fleet
        .explain("--org office-a --model summary --tokens 500")
        .expect_exit(0);
    let value = fleet
        .explain("--org office-a --model summary --tokens 500 --format json")
        .expect_exit(0)
        .json();

    assert_eq!(value["entry"], "a1");
    assert_eq!(value["candidates"][0]["node"], "w1");
    assert_eq!(value["choice"]["nodes"]["nodes"], json!(["w1"]));
    assert!(
        text.stdout.contains("goes to w1: least predicted time"),
        "{text:?}"
    );
    let key = KeyHash::of("key-of-office-a").to_string();
    assert!(!text.stdout.contains(&key) && !value.to_string().contains(&key));
}

#[test]
fn explain_gives_the_reason_of_a_refusal() {
    let fleet = ready_fleet();

    let long = fleet
        .explain("--org office-a --model summary --tokens 32001")
        .expect_exit(0);
    let unknown = fleet
        .explain("--org office-a --model review")
        .expect_exit(1);

    assert_snapshot!(long.stdout);
    assert!(unknown.stderr.contains("unknown_model"), "{unknown:?}");
}

#[test]
fn unreachable_entries_are_named() {
    let output = crate::jujube::Jujube::new("status --entries 127.0.0.1:1").run();

    assert_snapshot!(output.expect_exit(4).stderr);
}
