//! Fleet with the plain service `desk` behind two entries that share the platform's store.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::Value;
use serde_json::json;

use crate::answer::Answer;
use crate::caller::Caller;
use crate::fleet::Fleet;

/// Timeout of each call, long enough for a slow store.
const TIMEOUT_MILLIS: &str = "30000";

/// Starts two entries and one service with its agent.
pub fn service_fleet() -> Fleet {
    let fleet = Fleet::new().platform().service("s").entry("e1").entry("e2");
    for (entry, other) in [("e1", "e2"), ("e2", "e1")] {
        fleet.wait_until("agent and entries are known", |fleet| {
            fleet.agents_known(entry) == 1 && fleet.knows(entry, other)
        });
    }
    fleet
}

/// Transfer through `entry` with the idempotency key `key`.
pub fn transfer(fleet: &Fleet, entry: &str, key: &str) -> Caller {
    let caller = fleet
        .caller(entry)
        .call("transfers", &json!({ "amount": 5 }));
    caller
        .header("idempotency-key", key)
        .header("x-timeout-ms", TIMEOUT_MILLIS)
}

/// Number of executions of the call with `key`.
pub fn executions(fleet: &Fleet, key: &str) -> u64 {
    let counts = fleet.get("s-service", "/counts");
    counts["executions"][key].as_u64().unwrap_or(0)
}

/// Waits until earlier executions of the service have ended, by a call with the same delay.
pub fn wait_until_idle(fleet: &Fleet) {
    let caller = Caller::new(fleet.addr("s-service"));
    let answer = caller.post("/settle", "").send();
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Repeats the transfer until the key is no longer busy.
pub fn repeat(fleet: &Fleet, entry: &str, key: &str) -> Answer {
    let mut answer = transfer(fleet, entry, key).send();
    fleet.wait_until("the key is free", |_| {
        let is_free = answer.kind() != "key_busy";
        if !is_free {
            answer = transfer(fleet, entry, key).send();
        }
        is_free
    });
    answer
}

/// Number of claims in the store that are in `phase`.
pub fn count_claims(fleet: &Fleet, phase: &str) -> usize {
    let records = records(fleet, "claims");
    let in_phase = records.iter().filter(|record| record["phase"] == phase);
    in_phase.count()
}

/// Records in the store below `topic`.
pub fn records(fleet: &Fleet, topic: &str) -> Vec<Value> {
    let (from, to) = (format!("{topic}/"), format!("{topic}0"));
    let range = json!({ "key": encode(&from), "range_end": encode(&to) });
    let caller = Caller::new(fleet.addr("platform"));
    let answer = caller.post("/v3/kv/range", range.to_string()).send().json();
    let found = answer["kvs"].as_array().cloned().unwrap_or_default();
    found.iter().map(record).collect()
}

fn record(kv: &Value) -> Value {
    let value = kv["value"].as_str().unwrap_or_default();
    let bytes = BASE64_STANDARD.decode(value).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or(Value::Null)
}

fn encode(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}
