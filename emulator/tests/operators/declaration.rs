//! Catalogue entries to declare.

use jujubewind::catalogue::KeyHash;

/// An entry for one model with this limit on concurrency.
pub fn entry(id: &str, owner: &str, concurrency: u64) -> String {
    let key = KeyHash::of(&format!("key-of-{owner}"));
    format!(
        "  - id: {id}
    owner: {owner}
    class: interactive
    target:
      models: [summary]
    limits:
      request_rate: 1
      request_burst: 2
      concurrency: {concurrency}
      token_rate: 1000
      engine_seconds: 60
      longest_prompt: 32000
      longest_output: 2000
      default_timeout: 1000
      longest_timeout: 2000
    keys: [{key}]
"
    )
}
