//! What a caller got.

use serde_json::Value;

/// One HTTP answer, read to its end or to where it broke off.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status; zero if no connection came about.
    pub status: u16,
    /// The value of `Retry-After`.
    pub retry_after: Option<u64>,
    /// Whether an earlier call with the same key got this answer.
    pub replayed: bool,
    /// The body as text.
    pub body: String,
}

impl Answer {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The text of a completion, whole or streamed.
    pub fn text(&self) -> String {
        if self.body.starts_with("data:") {
            return self.pieces().iter().filter_map(piece_text).collect();
        }
        piece_text(&self.json()).unwrap_or_default()
    }

    /// Whether a stream came to its declared end.
    pub fn is_whole(&self) -> bool {
        self.body.trim_end().ends_with("data: [DONE]")
    }

    /// The kind of an error.
    pub fn kind(&self) -> String {
        self.error("kind")
    }

    /// Whether the failed request ran.
    pub fn ran(&self) -> String {
        self.error("ran")
    }

    fn error(&self, field: &str) -> String {
        let last = self.pieces().pop().unwrap_or_else(|| self.json());
        last["error"][field].as_str().unwrap_or_default().to_owned()
    }

    fn pieces(&self) -> Vec<Value> {
        let data = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|json| serde_json::from_str(json).ok())
            .collect()
    }
}

fn piece_text(piece: &Value) -> Option<String> {
    let choice = &piece["choices"][0];
    let text = [
        &choice["text"],
        &choice["delta"]["content"],
        &choice["message"]["content"],
    ];
    text.iter()
        .find_map(|text| text.as_str())
        .map(ToOwned::to_owned)
}
