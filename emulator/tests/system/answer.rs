//! HTTP response as a caller receives it.

use serde_json::Value;

/// HTTP response, read to its end or until the connection failed.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status; zero if there was no response.
    pub status: u16,
    /// Value of `Retry-After`.
    pub retry_after: Option<u64>,
    /// Whether this is the replayed response of an earlier call with the same key.
    pub replayed: bool,
    /// Body as text.
    pub body: String,
}

impl Answer {
    /// Body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Text of a completion, streamed or not.
    pub fn text(&self) -> String {
        if self.body.starts_with("data:") {
            return self.events().iter().filter_map(event_text).collect();
        }
        event_text(&self.json()).unwrap_or_default()
    }

    /// Whether a stream ended with `[DONE]`.
    pub fn is_complete(&self) -> bool {
        self.body.trim_end().ends_with("data: [DONE]")
    }

    /// Kind of the error.
    pub fn kind(&self) -> String {
        self.error("kind")
    }

    /// Whether the failed request ran, as the error states it.
    pub fn ran(&self) -> String {
        self.error("ran")
    }

    fn error(&self, field: &str) -> String {
        let last = self.events().pop().unwrap_or_else(|| self.json());
        last["error"][field].as_str().unwrap_or_default().to_owned()
    }

    fn events(&self) -> Vec<Value> {
        let data = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        data.filter_map(|json| serde_json::from_str(json).ok())
            .collect()
    }
}

fn event_text(event: &Value) -> Option<String> {
    let choice = &event["choices"][0];
    let text = [
        &choice["text"],
        &choice["delta"]["content"],
        &choice["message"]["content"],
    ];
    text.iter()
        .find_map(|text| text.as_str())
        .map(ToOwned::to_owned)
}
