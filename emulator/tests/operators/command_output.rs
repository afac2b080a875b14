//! The result of one run of the command.

use serde_json::Value;

/// Exit code and output of a run.
#[derive(Clone, Debug)]
pub struct CommandOutput {
    /// The exit code.
    pub code: i32,
    /// Standard output, with the catalogue's folder replaced by `DIR`.
    pub stdout: String,
    /// Standard error, with the same replacement.
    pub stderr: String,
}

impl CommandOutput {
    /// Asserts the exit code.
    pub fn expect_exit(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:?}");
        self
    }

    /// The output as JSON, with the values that differ in each run redacted.
    pub fn json(&self) -> Value {
        let mut value = serde_json::from_str(&self.stdout).expect("the output is JSON");
        redact(&mut value);
        value
    }
}

fn redact(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                if ["time", "change", "took"].contains(&key.as_str()) {
                    *field = Value::from(format!("[{key}]"));
                } else {
                    redact(field);
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(redact),
        _ => {}
    }
}
