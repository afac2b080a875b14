//! Catalogue files for the tests.

use jujubewind::catalogue::Catalogue;
use jujubewind::catalogue::Error;
use jujubewind::catalogue::KeyHash;
use jujubewind::catalogue::Source;

/// The limits of an entry for models, in YAML.
pub const MODEL_LIMITS: &str = "{request_rate: 1, request_burst: 2, concurrency: 3, \
    token_rate: 1000, engine_seconds: 60, longest_prompt: 32000, longest_output: 2000, \
    default_timeout: 1000, longest_timeout: 2000}";

/// The limits of an entry for a plain service, in YAML.
pub const SERVICE_LIMITS: &str = "{request_rate: 1, request_burst: 2, concurrency: 3, \
    default_timeout: 1000, longest_timeout: 2000}";

/// An entry for one model, with the key `key-of-OWNER`.
pub fn model_entry(id: &str, owner: &str, model: &str) -> String {
    let key = KeyHash::of(&format!("key-of-{owner}"));
    format!(
        "  - id: {id}\n    owner: {owner}\n    class: interactive\n    target:\n      \
         models: [{model}]\n    limits: {MODEL_LIMITS}\n    keys: [{key}]\n"
    )
}

/// An entry for a plain service with one method.
pub fn service_entry(id: &str, owner: &str, idempotent: bool) -> String {
    let key = KeyHash::of(&format!("key-of-{owner}"));
    format!(
        "  - id: {id}\n    owner: {owner}\n    class: urgent\n    target:\n      service:\n        \
         name: desk\n        methods: [{{name: transfers, idempotent: {idempotent}}}]\n    \
         limits: {SERVICE_LIMITS}\n    keys: [{key}]\n"
    )
}

/// Parses a catalogue of one file with these entries.
pub fn read(entries: &[String]) -> Result<Catalogue, Error> {
    Catalogue::from_sources(&[source("a.yaml", entries)])
}

/// A catalogue file with these entries.
pub fn source(file: &str, entries: &[String]) -> Source {
    Source {
        file: file.to_owned(),
        text: format!("entries:\n{}", entries.concat()),
    }
}

/// The error message for an invalid catalogue of these entries.
pub fn refusal(entries: &[String]) -> String {
    read(entries).expect_err("refused").to_string()
}
