//! The two paths from a caller to the engine.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cyper::Client;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use jujube_emulator::embedded::KEY;
use jujube_emulator::embedded::MODEL;
use jujube_emulator::engine::core::answer;
use jujubewind::wire::engine::GenerateEvent;
use jujubewind::wire::engine::GenerateRequest;
use jujubewind::wire::openai::CompletionRequest;
use jujubewind::wire::openai::CompletionResponse;

/// The length of the prompt in generated words, about a thousand tokens.
const PROMPT_WORDS: u64 = 570;
/// The length of each answer.
pub const OUTPUT_TOKENS: u64 = 16;
/// The data of a stream's last event.
const DONE: &str = "[DONE]";

/// A path from a caller to the engine.
pub struct Path {
    url: String,
    is_direct: bool,
    next: Cell<u64>,
}

impl Path {
    /// Sends requests directly to the engine.
    pub fn direct(engine: SocketAddr) -> Self {
        Self::new(engine, true)
    }

    /// Sends requests through an entry and the engine's agent.
    pub fn proxied(entry: SocketAddr) -> Self {
        Self::new(entry, false)
    }

    fn new(addr: SocketAddr, is_direct: bool) -> Self {
        Self {
            url: format!("http://{addr}/v1/completions"),
            is_direct,
            next: Cell::new(0),
        }
    }

    /// Sends a request, verifies the answer and returns the time to first token.
    pub async fn request(&self, client: &Client) -> Duration {
        let number = self.next.get();
        self.next.set(number + 1);
        // Both paths use different prompts, so that none is in the engine's prefix cache.
        let salt = number * 2 + u64::from(self.is_direct);
        let prompt = answer::tokens(salt, 0, PROMPT_WORDS);
        let expected = answer::expected(&prompt, OUTPUT_TOKENS);
        let request = client.post(&self.url).expect("a URL");
        let request = request.bearer_auth(KEY).expect("a header");
        let request = if self.is_direct {
            request.json(&engine_request(salt, prompt))
        } else {
            request.json(&entry_request(prompt))
        };
        let start = Instant::now();
        let response = request.expect("JSON").send().await.expect("a response");
        let status = response.status();
        assert!(status.is_success(), "{status} from {}", self.url);
        let mut events = Box::pin(response.bytes_stream().eventsource());
        let mut first = None;
        let mut text = String::new();
        while let Some(event) = events.next().await {
            let data = event.expect("a complete stream").data;
            if data == DONE {
                break;
            }
            text.push_str(&self.event_text(&data));
            first.get_or_insert_with(|| start.elapsed());
        }
        assert_eq!(text, expected, "request {number} to {}", self.url);
        first.expect("at least one token")
    }

    fn event_text(&self, data: &str) -> String {
        if self.is_direct {
            let event: GenerateEvent = serde_json::from_str(data).expect("an event");
            return event.text;
        }
        let event: CompletionResponse = serde_json::from_str(data).expect("an event");
        event.choices[0].text.clone()
    }
}

fn engine_request(number: u64, prompt: String) -> GenerateRequest {
    GenerateRequest {
        group: None,
        max_tokens: OUTPUT_TOKENS,
        model: MODEL.to_owned(),
        offset: 0,
        priority: 0,
        prompt,
        request_id: format!("direct-{number}"),
    }
}

fn entry_request(prompt: String) -> CompletionRequest {
    CompletionRequest {
        model: MODEL.to_owned(),
        prompt,
        max_tokens: Some(OUTPUT_TOKENS),
        stream: Some(true),
    }
}
