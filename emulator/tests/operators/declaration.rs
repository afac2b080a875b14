//! Catalogue entries in YAML.

use jujubewind::catalogue::KeyHash;

/// A catalogue entry for one model with the given concurrency limit.
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
      default_timeout: 60000
      longest_timeout: 120000
    keys: [{key}]
"
    )
}
