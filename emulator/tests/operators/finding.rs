//! What a run of the command gave.

use serde_json::Value;

/// The end of a run.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The exit code.
    pub code: i32,
    /// What it printed.
    pub stdout: String,
    /// What it remarked.
    pub stderr: String,
}

impl Finding {
    /// Holds the run against an exit code.
    pub fn exits(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:?}");
        self
    }

    /// The output as JSON, without what differs in each run.
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
