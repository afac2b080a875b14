//! `apply --wait`, `status` and `explain` against real processes.

use insta::assert_snapshot;
use jujubewind::catalogue::KeyHash;
use serde_json::json;

use crate::declaration::entry;
use crate::fleet::Fleet;

/// A fleet in which the catalogue is in force and the agent is known.
fn served() -> Fleet {
    let fleet = Fleet::start();
    let entries = [entry("a1", "office-a", 3)];
    let operator = fleet.site.operator("anna").declares(&entries);
    let words = format!("--base 0 --wait --entries {}", fleet.entries());
    operator.apply(&words).exits(0);
    fleet.wait_until("the engine takes requests", || {
        let finding = fleet.explain("--org office-a --model summary --format json");
        finding.code == 0 && finding.json()["choice"]["nodes"].is_object()
    });
    fleet
}

#[test]
fn a_change_is_waited_for_until_every_entry_has_it() {
    let fleet = served();
    let entries = [entry("a1", "office-a", 4)];
    let operator = fleet.site.operator("bela").declares(&entries);

    let words = format!(
        "--base 1 --format json --wait --entries {}",
        fleet.entries()
    );
    let finding = operator.apply(&words).exits(0).json();

    assert_eq!(finding["revision"], 2);
    assert_eq!(finding["wait"]["everywhere"], true);
    let status = fleet.status("--format json").exits(0).json();
    let revisions = status["entries"].as_array().expect("a list").iter();
    let revisions: Vec<u64> = revisions
        .filter_map(|one| one["revision"].as_u64())
        .collect();
    assert_eq!(revisions, [2, 2]);
}

#[test]
fn an_entry_that_nobody_waits_for_is_named() {
    let fleet = served();
    let operator = fleet
        .site
        .operator("bela")
        .declares(&[entry("a1", "office-a", 4)]);
    fleet.wait_until("the first entry knows the second", || {
        fleet.status("").stdout.contains("entry e2 in d1")
    });

    let words = format!("--base 1 --wait --entries {}", fleet.first());
    let finding = operator.apply(&words).exits(0);

    assert!(
        finding.stderr.contains("entry e2 is not waited for"),
        "{finding:?}"
    );
}

#[test]
fn a_status_tells_roles_and_who_stops() {
    let fleet = served();
    fleet.wait_until("both entries know the agent", || {
        let members = fleet.status("--format json").json()["members"].clone();
        let agent = members.as_array().and_then(|all| {
            let mut agents = all.iter().filter(|one| one["role"] == "agent");
            agents.next().cloned()
        });
        agent.is_some_and(|one| one["seen_by"] == json!(["e1", "e2"]))
    });

    fleet.stop_second();

    fleet.wait_until("the second entry leaves", || {
        let finding = fleet.status("").exits(0);
        finding.stdout.contains("stopping") || finding.stdout.contains("entry e2 in d1, leaving")
    });
}

#[test]
fn an_explanation_names_entry_candidates_and_choice_but_no_key() {
    let fleet = served();

    let text = fleet
        .explain("--org office-a --model summary --tokens 500")
        .exits(0);
    let value = fleet
        .explain("--org office-a --model summary --tokens 500 --format json")
        .exits(0)
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
fn what_would_be_refused_is_explained() {
    let fleet = served();

    let long = fleet
        .explain("--org office-a --model summary --tokens 32001")
        .exits(0);
    let unknown = fleet.explain("--org office-a --model review").exits(1);

    assert_snapshot!(long.stdout);
    assert!(unknown.stderr.contains("unknown_model"), "{unknown:?}");
}

#[test]
fn entries_that_do_not_answer_are_named() {
    let nobody = crate::jujube::Jujube::new("status --entries 127.0.0.1:1").run();

    assert_snapshot!(nobody.exits(4).stderr);
}
