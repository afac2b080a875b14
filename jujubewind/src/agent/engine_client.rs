//! The agent's side of the engine's HTTP interface.

use std::net::SocketAddr;

use cyper::Client;
use flume::Sender;
use futures::StreamExt;

use super::EngineEvent;
use super::message::Message;
use crate::http::EventParser;
use crate::rpc::message::Finish;
use crate::rpc::message::Start;
use crate::types::AttemptId;
use crate::types::Class;
use crate::types::Tokens;
use crate::wire::engine::CancelRequest;
use crate::wire::engine::GenerateEvent;
use crate::wire::engine::GenerateRequest;
use crate::wire::engine::SequenceList;

/// The event that closes a stream.
const DONE: &str = "[DONE]";

/// Speaks to one engine; a clone shares its connections.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Client,
    base: String,
    messages: Sender<Message>,
}

impl EngineClient {
    /// Makes a client of the engine at `addr` that reports to `messages`.
    ///
    /// # Errors
    /// The HTTP client cannot be set up.
    pub fn new(addr: SocketAddr, messages: Sender<Message>) -> Result<Self, cyper::Error> {
        Ok(Self {
            http: Client::new()?,
            base: format!("http://{addr}"),
            messages,
        })
    }

    /// Runs one attempt and reports its tokens and its end.
    pub async fn generate(self, start: Start) {
        let attempt = start.quote.envelope.attempt;
        let ended = match self.stream(&start).await {
            Ok(ended) => ended,
            Err(error) => {
                crate::event!(warn, "engine_failed", attempt = attempt, error = error);
                false
            }
        };
        if !ended {
            let died = !self.alive().await;
            self.report(attempt, EngineEvent::Failed { died }).await;
        }
    }

    /// Asks the engine to stop a sequence; the listing repairs a lost request.
    pub async fn cancel(self, attempt: AttemptId) {
        let request = CancelRequest {
            request_id: attempt.to_string(),
        };
        if let Err(error) = self.post("/v1/cancel", &request).await {
            crate::event!(
                warn,
                "engine_cancel_failed",
                attempt = attempt,
                error = error
            );
        }
    }

    /// Reports which attempts the engine lists.
    pub async fn list(self) {
        if let Ok(list) = self.sequences().await {
            let ids = list.sequences.iter();
            let ids = ids.filter_map(|s| s.request_id.parse().ok()).collect();
            let _ = self.messages.send_async(Message::Listed(ids)).await;
        }
    }

    async fn sequences(&self) -> Result<SequenceList, cyper::Error> {
        let url = format!("{}/v1/sequences", self.base);
        self.http.get(url)?.send().await?.json().await
    }

    async fn alive(&self) -> bool {
        self.sequences().await.is_ok()
    }

    async fn post(
        &self,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<cyper::Response, cyper::Error> {
        let url = format!("{}{path}", self.base);
        self.http.post(url)?.json(body)?.send().await
    }

    async fn stream(&self, start: &Start) -> Result<bool, cyper::Error> {
        let attempt = start.quote.envelope.attempt;
        let response = self.post("/v1/completions", &request(start)).await?;
        if !response.status().is_success() {
            return Ok(false);
        }
        let mut bytes = response.bytes_stream();
        let mut parser = EventParser::default();
        while let Some(part) = bytes.next().await {
            for data in parser.push(&part?) {
                if data == DONE {
                    continue;
                }
                let Ok(event) = serde_json::from_str::<GenerateEvent>(&data) else {
                    return Ok(false);
                };
                if self.relay(attempt, event).await {
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    /// Reports one event of the stream and says whether it was the last.
    async fn relay(&self, attempt: AttemptId, event: GenerateEvent) -> bool {
        if event.request_id != attempt.to_string() {
            return false;
        }
        let offset = Tokens(event.offset);
        let finish = event
            .finish_reason
            .as_deref()
            .and_then(|f| f.parse::<Finish>().ok());
        let mut count = offset;
        if !event.text.is_empty() {
            count = offset.saturating_add(Tokens(1));
            let text = event.text;
            self.report(attempt, EngineEvent::Token { offset, text })
                .await;
        }
        let Some(finish) = finish else {
            return false;
        };
        self.report(attempt, EngineEvent::End { finish, count })
            .await;
        true
    }

    async fn report(&self, attempt: AttemptId, event: EngineEvent) {
        let _ = self
            .messages
            .send_async(Message::Engine(attempt, event))
            .await;
    }
}

fn request(start: &Start) -> GenerateRequest {
    let quote = &start.quote;
    GenerateRequest {
        model: quote.model.to_string(),
        prompt: start.text.clone(),
        max_tokens: quote.output.get(),
        priority: priority(quote.class),
        request_id: quote.envelope.attempt.to_string(),
        offset: start.offset.get(),
        group: None,
    }
}

/// The engine runs lower numbers sooner.
fn priority(class: Class) -> i64 {
    match class {
        Class::Urgent => 0,
        Class::Interactive => 10,
        Class::Batch => 20,
    }
}
