//! Catalogue of the fleets under test.

use jujubewind::catalogue::KeyHash;

/// API key of the test organisation.
pub const KEY: &str = "acme-key";

/// Catalogue of one organisation with a model and a plain service.
pub fn catalogue(engine_seconds: u64) -> String {
    let hash = KeyHash::of(KEY);
    format!(
        "entries:
  - id: acme.reviews
    owner: acme
    class: interactive
    target: {{models: [m1]}}
    limits:
      request_rate: 1000
      request_burst: 1000
      concurrency: 1000
      token_rate: 100000000
      engine_seconds: {engine_seconds}
      longest_prompt: 1048576
      longest_output: 100000
      default_timeout: 60000
      longest_timeout: 600000
    keys: [{hash}]
  - id: acme.desk
    owner: acme
    class: urgent
    target:
      service:
        name: desk
        methods:
          - {{name: transfers, idempotent: false}}
          - {{name: balances, idempotent: true}}
    limits:
      request_rate: 1000
      request_burst: 1000
      concurrency: 1000
      default_timeout: 5000
      longest_timeout: 60000
"
    )
}
