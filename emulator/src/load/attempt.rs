//! Sends one request to an entry and checks the response.

use std::time::Instant;

use cyper::Client;
use cyper::Response;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use jujubewind::wire::openai::CompletionRequest;
use jujubewind::wire::openai::CompletionResponse;
use jujubewind::wire::openai::ErrorResponse;

use super::Failure;
use super::Outcome;
use super::PlannedRequest;
use crate::engine::core::answer;

/// Data of the last event of a complete stream.
const DONE: &str = "[DONE]";

/// Entry, credentials and model for the load.
#[derive(Clone, Debug)]
pub struct Target {
    /// Root URL of the entry.
    pub url: String,
    /// API key of the organisation.
    pub key: String,
    /// Name of the model in the catalogue.
    pub model: String,
}

/// Text received so far.
#[derive(Debug, Default)]
struct Progress {
    text: String,
    /// Microseconds to the first token.
    first_token: Option<u64>,
}

impl Target {
    /// Sends one request and reads the response to its end.
    pub(crate) async fn attempt(&self, client: &Client, planned: PlannedRequest) -> Outcome {
        let start = Instant::now();
        let expected = answer::expected(&planned.prompt, planned.max_tokens);
        let mut progress = Progress::default();
        let result = self.exchange(client, &planned, start, &mut progress).await;
        let is_correct = progress.text == expected;
        let failure = match result {
            Ok(()) => (!is_correct).then_some(Failure::Wrong),
            Err(failure) => Some(failure),
        };
        Outcome {
            length: planned.length,
            first_token: progress.first_token,
            total: micros_since(start),
            failure,
        }
    }

    async fn exchange(
        &self,
        client: &Client,
        planned: &PlannedRequest,
        start: Instant,
        progress: &mut Progress,
    ) -> Result<(), Failure> {
        let response = self.send(client, planned).await;
        let response = response.map_err(|_| Failure::Connection)?;
        if !response.status().is_success() {
            return Err(refusal(response).await);
        }
        let mut events = Box::pin(response.bytes_stream().eventsource());
        while let Some(event) = events.next().await {
            let event = event.map_err(|_| Failure::Broken)?;
            if event.data == DONE {
                return Ok(());
            }
            progress.add(&event.data, start)?;
        }
        Err(Failure::Broken)
    }

    async fn send(&self, client: &Client, planned: &PlannedRequest) -> cyper::Result<Response> {
        let body = CompletionRequest {
            model: self.model.clone(),
            prompt: planned.prompt.clone(),
            max_tokens: Some(planned.max_tokens),
            stream: Some(true),
        };
        let url = format!("{}/v1/completions", self.url);
        let request = client.post(url)?.bearer_auth(&self.key)?;
        request.json(&body)?.send().await
    }
}

impl Progress {
    fn add(&mut self, data: &str, start: Instant) -> Result<(), Failure> {
        if let Ok(error) = serde_json::from_str::<ErrorResponse>(data) {
            return Err(Failure::Refused(error.error.kind));
        }
        let event: CompletionResponse = serde_json::from_str(data).map_err(|_| Failure::Broken)?;
        let Some(choice) = event.choices.first() else {
            return Ok(());
        };
        if !choice.text.is_empty() {
            self.first_token.get_or_insert_with(|| micros_since(start));
        }
        self.text.push_str(&choice.text);
        Ok(())
    }
}

async fn refusal(response: Response) -> Failure {
    let status = response.status();
    match response.json::<ErrorResponse>().await {
        Ok(body) => Failure::Refused(body.error.kind),
        Err(_) => Failure::Refused(format!("status_{}", status.as_u16())),
    }
}

fn micros_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
