//! Exit code and message of `--check` of the real binaries.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use tempfile::TempDir;

use crate::process::path;

/// Exit code for an invalid settings file.
const INVALID: i32 = 2;

/// Result of `--check`.
#[derive(Debug)]
struct CheckResult {
    code: Option<i32>,
    message: String,
}

fn check(binary: &str, settings: &Path) -> CheckResult {
    let output = Command::new(path(binary))
        .arg("--settings")
        .arg(settings)
        .arg("--check")
        .output()
        .expect("the binary runs; build the whole workspace first");
    CheckResult {
        code: output.status.code(),
        message: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples/settings")
        .join(name)
}

/// Checks an example in which `from` is replaced by `to`.
fn check_changed(binary: &str, name: &str, from: &str, to: &str) -> CheckResult {
    let dir = TempDir::new().expect("a folder");
    let text = std::fs::read_to_string(example(name)).expect("the example is there");
    assert!(text.contains(from), "{name} has {from}");
    let file = dir.path().join(name);
    std::fs::write(&file, text.replace(from, to)).expect("the file can be written");
    check(binary, &file)
}

fn assert_invalid(result: &CheckResult, words: &[&str]) {
    assert_eq!(result.code, Some(INVALID), "{}", result.message);
    for word in words {
        assert!(result.message.contains(word), "{word}: {}", result.message);
    }
}

#[test]
fn the_examples_are_valid() {
    let entry = check("jujube-entry", &example("entry.yaml"));
    let agent = check("jujube-agent", &example("agent.yaml"));

    assert_eq!((entry.code, entry.message.as_str()), (Some(0), ""));
    assert_eq!((agent.code, agent.message.as_str()), (Some(0), ""));
}

#[test]
fn an_unknown_key_is_named_with_a_remedy() {
    let entry = check_changed("jujube-entry", "entry.yaml", "grace:", "grase:");
    let agent = check_changed("jujube-agent", "agent.yaml", "slots:", "slot:");

    assert_invalid(&entry, &["`grase`", "correct the key"]);
    assert_invalid(&agent, &["`slot`", "correct the key"]);
}

#[test]
fn a_value_out_of_range_is_named_with_a_valid_value() {
    let body = check_changed("jujube-entry", "entry.yaml", "16777216", "1000");
    let arrival = check_changed("jujube-entry", "entry.yaml", "arrival: 20000", "arrival: 0");
    let slots = check_changed("jujube-agent", "agent.yaml", "slots: 64", "slots: 0");
    let orphan = check_changed("jujube-agent", "agent.yaml", "orphan: 5000", "orphan: 999");
    let models = check_changed("jujube-agent", "agent.yaml", "[m1]", "[]");

    assert_invalid(&body, &["`body`", "1000", "write 1024 or more"]);
    assert_invalid(&arrival, &["`arrival`", "`0", "write 1 or more"]);
    assert_invalid(&slots, &["`slots`", "`0`", "write 1 or more"]);
    assert_invalid(&orphan, &["`orphan`", "999", "write 1000 or more"]);
    assert_invalid(&models, &["`models`", "`[]`", "name at least one"]);
}

#[test]
fn a_value_of_the_wrong_form_and_a_missing_file_are_named() {
    let listen = check_changed("jujube-entry", "entry.yaml", "127.0.0.1:8080", "here");
    let missing = check("jujube-agent", Path::new("no-such-file.yaml"));

    assert_invalid(&listen, &["listen", "correct the key or value"]);
    assert_invalid(&missing, &["no-such-file.yaml", "--settings"]);
}
