//! Error messages for invalid catalogues, with file, line, key and remedy.

use insta::assert_snapshot;
use jujubewind::catalogue::Catalogue;

use crate::fixture::model_entry;
use crate::fixture::read;
use crate::fixture::refusal;
use crate::fixture::service_entry;
use crate::fixture::source;

fn changed(from: &str, to: &str) -> String {
    let entry = model_entry("a1", "office-a", "summary");
    assert!(entry.contains(from), "the fixture has {from}");
    refusal(&[entry.replace(from, to)])
}

#[test]
fn unknown_keys_and_values() {
    assert_snapshot!(changed("concurrency: 3", "concurency: 3"));
    assert_snapshot!(changed("class: interactive", "class: instant"));
    assert_snapshot!(changed(
        "models: [summary]",
        "models: [summary]\n      service: {}"
    ));
    assert_snapshot!(changed("keys: [", "keys: [abc, "));
    assert_snapshot!(changed("id: a1", "id: a 1"));
}

#[test]
fn limits_out_of_range() {
    assert_snapshot!(changed("concurrency: 3", "concurrency: 0"));
    assert_snapshot!(changed("longest_prompt: 32000", "longest_prompt: 32000000"));
    assert_snapshot!(changed("default_timeout: 1000", "default_timeout: 3000"));
    assert_snapshot!(changed("token_rate: 1000, ", ""));
}

#[test]
fn limits_of_models_in_an_entry_for_a_service() {
    let entry = service_entry("s1", "office-a", false);

    let message = refusal(&[entry.replace("concurrency: 3", "concurrency: 3, token_rate: 5")]);

    assert_snapshot!(message);
}

#[test]
fn names_and_keys_that_clash() {
    let first = model_entry("a1", "office-a", "summary");
    let same_id = model_entry("a1", "office-a", "review");
    let same_model = model_entry("a2", "office-a", "summary");
    let other = model_entry("b1", "office-b", "summary");
    let stolen = other.replace(
        &jujubewind::catalogue::KeyHash::of("key-of-office-b").to_string(),
        &jujubewind::catalogue::KeyHash::of("key-of-office-a").to_string(),
    );

    assert_snapshot!(refusal(&[first.clone(), same_id]));
    assert_snapshot!(refusal(&[first.clone(), same_model]));
    assert_snapshot!(refusal(&[first, stolen]));
}

#[test]
fn methods_stated_differently() {
    let twice = service_entry("s1", "office-a", false);
    let may_repeat = service_entry("s2", "office-b", true);

    assert_snapshot!(refusal(&[twice.clone(), may_repeat]));
    assert_snapshot!(refusal(&[twice, model_entry("b1", "office-b", "desk")]));
}

#[test]
fn empty_and_repeated_lists() {
    assert_snapshot!(changed("models: [summary]", "models: []"));
    assert_snapshot!(changed("models: [summary]", "models: [summary, summary]"));
    let entry = service_entry("s1", "office-a", false);
    assert_snapshot!(refusal(&[entry.replace("name: transfers", "name: a b")]));
}

#[test]
fn an_organisation_without_a_key() {
    let entry = model_entry("a1", "office-a", "summary");
    let (keyless, _) = entry.split_once("    keys").expect("the fixture has keys");

    assert_snapshot!(refusal(&[keyless.to_owned()]));
}

#[test]
fn entries_too_large_for_the_store() {
    let many: Vec<String> = (0..3_000)
        .map(|n| model_entry(&format!("a{n}"), "office-a", &format!("model-{n}")))
        .collect();

    let message = read(&many).expect_err("refused").to_string();

    assert!(message.contains("shorten or remove some"), "{message}");
}

#[test]
fn all_errors_of_all_files_are_reported() {
    let bad_limit = model_entry("a1", "office-a", "m").replace("concurrency: 3", "concurrency: 0");
    let bad_class = model_entry("b1", "office-b", "m").replace("interactive", "instant");
    let sources = [
        source("a.yaml", &[bad_limit]),
        source("b.yaml", &[bad_class]),
    ];

    let refused = Catalogue::from_sources(&sources);

    assert_snapshot!(refused.expect_err("refused"));
}

#[test]
fn a_directory_without_files() {
    let dir = tempfile::tempdir().expect("a directory");

    let refused = Catalogue::read_dir(dir.path());

    let message = refused.expect_err("refused").to_string();
    assert!(message.contains("name the directory that holds the catalogue"));
}
