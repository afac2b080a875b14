//! A backend server that is listed as leaving in the platform's VM list.

use jujube_emulator::engine::core::answer::expected;
use serde_json::json;

use crate::fleet::Fleet;

/// Two engines and two entries, of which only `e1` reads the platform's VM list.
fn one_entry_reads_the_list() -> Fleet {
    let fleet = Fleet::new().engine("a").engine("b");
    let fleet = fleet.entry("e2").platform().entry("e1");
    fleet.wait_until("both agents are known", |fleet| {
        fleet.agents_known("e1") == 2 && fleet.agents_known("e2") == 2
    });
    fleet
}

fn list_a_as_leaving(fleet: &Fleet) {
    let vm = |name: &str, state: &str| {
        let addr = fleet.addr(&format!("{name}-agent")).to_string();
        json!({"name": name, "addr": addr, "domain": "d1", "role": "agent", "state": state})
    };
    let list = json!({"as_of_ms": 0, "vms": [vm("a", "leaving"), vm("b", "live")]});
    let answer = fleet
        .caller("platform")
        .post("/v1/vms", list.to_string())
        .send();
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Number of cache events of an engine; each prompt that it prefills adds some.
fn cache_events(fleet: &Fleet, name: &str) -> u64 {
    let events = fleet.get(&format!("{name}-engine"), "/v1/cache/events?after=0");
    events["last"].as_u64().expect("a number")
}

#[test]
fn a_leaving_backend_server_receives_no_new_work_even_from_an_entry_without_the_list() {
    let fleet = one_entry_reads_the_list();

    list_a_as_leaving(&fleet);
    fleet.wait_until("the agent refuses work", |fleet| {
        fleet.get("a-admin", "/status")["leaving"] == true
    });
    let before = cache_events(&fleet, "a");
    for number in 0..8 {
        let prompt = format!("audit summary {number} ").repeat(400);
        let entry = if number % 2 == 0 { "e1" } else { "e2" };
        let answer = fleet.caller(entry).complete(&prompt, 5).send();
        assert_eq!(
            answer.text(),
            expected(&prompt, 5),
            "{}\n{}",
            answer.body,
            fleet.logs()
        );
    }

    assert_eq!(cache_events(&fleet, "a"), before);
    assert!(cache_events(&fleet, "b") > 0);
}
