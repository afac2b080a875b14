//! Propagation of catalogue changes to the entries under faults of the store and the processes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use compio::runtime::Runtime;
use jujubewind::catalogue::Catalogue;
use jujubewind::catalogue::CatalogueStore;
use jujubewind::catalogue::ContentHash;
use jujubewind::catalogue::KeyHash;
use jujubewind::catalogue::Page;
use jujubewind::catalogue::Source;
use jujubewind::catalogue::Tree;
use jujubewind::catalogue::UnixTime;
use jujubewind::catalogue::publish::Base;
use jujubewind::catalogue::publish::Change;
use jujubewind::catalogue::publish::PublishOutcome;
use jujubewind::catalogue::publish::Publisher;
use jujubewind::store::Client;
use jujubewind::types::ChangeId;
use jujubewind::types::Millis;
use jujubewind::types::Revision;
use nix::sys::signal::Signal;

use crate::declaration::KEY;
use crate::fleet::Fleet;

/// Timeout for calls to the store.
const STORE_TIMEOUT: Millis = Millis(2_000);

/// Catalogue that allows the test organisation to use `model`.
fn tree_with_model(model: &str) -> Tree {
    let hash = KeyHash::of(KEY);
    let text = format!(
        "entries:
  - id: acme.reviews
    owner: acme
    class: interactive
    target: {{models: [{model}]}}
    limits: {{request_rate: 1, request_burst: 2, concurrency: 3, token_rate: 1000,
      engine_seconds: 60, longest_prompt: 32000, longest_output: 2000,
      default_timeout: 1000, longest_timeout: 2000}}
    keys: [{hash}]
"
    );
    let source = Source {
        file: "acme.yaml".to_owned(),
        text,
    };
    Tree::of(&Catalogue::from_sources(&[source]).expect("the catalogue is sound"))
}

/// Invalid catalogue that no operator's tool would publish: its only part has no owner or entries.
fn invalid_tree() -> Tree {
    let part = "{}";
    let owner = "acme".parse().expect("a name");
    let parts = BTreeMap::from([(owner, ContentHash::of(part))]);
    let page = Page { parts }.encode();
    let hash = ContentHash::of(&page);
    Tree {
        pages: BTreeMap::from([(0, hash)]),
        texts: HashMap::from([(hash, page.into()), (ContentHash::of(part), part.into())]),
    }
}

fn publish(fleet: &Fleet, tree: Tree) -> Revision {
    let change = Change {
        id: ChangeId::random(&mut rand::rng()),
        author: "operator".to_owned(),
        time: UnixTime(1),
        base: Base::Latest,
    };
    let publisher = Publisher::new(change, tree, HashSet::new());
    let work = async {
        let client = Client::new(fleet.addr("platform"), STORE_TIMEOUT).expect("a client");
        CatalogueStore::new(client).publish(publisher).await
    };
    let outcome = Runtime::new().expect("a runtime").block_on(work);
    match outcome {
        PublishOutcome::Accepted(revision) => revision,
        other => panic!("{other:?}"),
    }
}

/// Three entries in two failure domains that use the first revision.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new().platform().published_catalogue();
    publish(&fleet, tree_with_model("m1"));
    for (entry, domain) in [("e1", "d1"), ("e2", "d1"), ("e3", "d2")] {
        fleet.start_entry(entry, domain);
    }
    wait_for_revision(&fleet, &["e1", "e2", "e3"], 1);
    fleet
}

fn revision(fleet: &Fleet, entry: &str) -> Option<u64> {
    let answer = fleet.caller(entry).get("/status").send();
    (answer.status == 200)
        .then(|| answer.json()["revision"].as_u64())
        .flatten()
}

fn wait_for_revision(fleet: &Fleet, entries: &[&str], number: u64) {
    fleet.wait_until(&format!("revision {number}"), |fleet| {
        let has_revision = |entry: &&str| revision(fleet, entry) == Some(number);
        entries.iter().all(has_revision)
    });
}

fn allows(fleet: &Fleet, entry: &str, model: &str) -> bool {
    let answer = fleet.caller(entry).get("/v1/models").send();
    answer.body.contains(&format!("\"{model}\""))
}

/// Entry that reads the store for the first failure domain.
fn reader(fleet: &Fleet) -> &'static str {
    let reads = |entry: &&str| fleet.log(entry).contains("reading_store");
    fleet.wait_until("a reader", |_| ["e1", "e2"].iter().any(reads));
    ["e1", "e2"]
        .into_iter()
        .find(reads)
        .expect("a reader was seen")
}

#[test]
fn a_change_reaches_all_entries_of_all_failure_domains() {
    let fleet = fleet();

    let accepted = publish(&fleet, tree_with_model("m2"));

    assert_eq!(accepted, Revision(2));
    wait_for_revision(&fleet, &["e1", "e2", "e3"], 2);
    for entry in ["e1", "e2", "e3"] {
        assert!(allows(&fleet, entry, "m2") && !allows(&fleet, entry, "m1"));
    }
}

#[test]
fn an_entry_without_a_catalogue_refuses_with_retry_after() {
    let mut fleet = Fleet::new().platform().published_catalogue();
    fleet.start_entry("e1", "d1");
    fleet.wait_until("the entry answers", |fleet| {
        fleet.caller("e1").get("/livez").send().status == 200
    });

    let answer = fleet.caller("e1").complete("lookup", 5).send();
    let ready = fleet.caller("e1").get("/readyz").send();

    assert_eq!(
        (answer.status, answer.kind().as_str(), ready.status),
        (503, "no_catalogue", 503)
    );
    assert!(answer.retry_after.is_some(), "{}", answer.body);
    publish(&fleet, tree_with_model("m1"));
    wait_for_revision(&fleet, &["e1"], 1);
}

#[test]
fn an_entry_that_starts_in_an_outage_serves_its_peers_revision() {
    let mut fleet = fleet();
    publish(&fleet, tree_with_model("m2"));
    wait_for_revision(&fleet, &["e1", "e2", "e3"], 2);
    fleet.set_faults("platform", r#"{"down": true}"#);
    fleet.kill("e1");

    fleet.restart("e1");

    wait_for_revision(&fleet, &["e1"], 2);
    assert!(allows(&fleet, "e1", "m2"));
}

#[test]
fn an_entry_that_restarts_beside_a_stale_peer_never_reverts() {
    let mut fleet = fleet();
    fleet.signal("e3", Signal::SIGSTOP);
    publish(&fleet, tree_with_model("m2"));
    wait_for_revision(&fleet, &["e1", "e2"], 2);
    fleet.set_faults("platform", r#"{"down": true}"#);
    fleet.kill("e1");
    fleet.signal("e3", Signal::SIGCONT);

    fleet.restart("e1");

    fleet.wait_until("the newest revision", |fleet| {
        let seen = revision(fleet, "e1");
        assert_ne!(seen, Some(1), "{}", fleet.logs());
        seen == Some(2)
    });
    wait_for_revision(&fleet, &["e3"], 2);
}

#[test]
fn a_change_arrives_though_the_reader_was_killed() {
    let mut fleet = fleet();
    let reader = reader(&fleet);
    let other = if reader == "e1" { "e2" } else { "e1" };

    fleet.kill(reader);
    publish(&fleet, tree_with_model("m2"));

    wait_for_revision(&fleet, &[other, "e3"], 2);
}

#[test]
fn a_change_arrives_though_the_reader_is_frozen() {
    let fleet = fleet();
    let reader = reader(&fleet);
    let other = if reader == "e1" { "e2" } else { "e1" };

    fleet.signal(reader, Signal::SIGSTOP);
    publish(&fleet, tree_with_model("m2"));

    wait_for_revision(&fleet, &[other, "e3"], 2);
    fleet.signal(reader, Signal::SIGCONT);
    wait_for_revision(&fleet, &[reader], 2);
}

#[test]
fn a_change_arrives_though_all_watches_are_frozen() {
    let fleet = fleet();
    fleet.set_faults("platform", r#"{"freeze_watches": true}"#);

    publish(&fleet, tree_with_model("m2"));

    wait_for_revision(&fleet, &["e1", "e2", "e3"], 2);
}

#[test]
fn an_invalid_revision_is_rejected_and_the_next_is_applied() {
    let fleet = fleet();

    publish(&fleet, invalid_tree());
    fleet.wait_until("the refusal is logged", |fleet| {
        fleet.logs().contains("catalogue_refused")
    });

    for entry in ["e1", "e2", "e3"] {
        assert_eq!(revision(&fleet, entry), Some(1), "{}", fleet.logs());
        assert!(allows(&fleet, entry, "m1"));
    }
    publish(&fleet, tree_with_model("m2"));
    wait_for_revision(&fleet, &["e1", "e2", "e3"], 3);
}
