//! The client of the engine's HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;

use cyper::Client;
use cyper::Response;
use flume::Sender;
use futures::StreamExt;
use hyper::body::Bytes;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::EngineEvent;
use super::error::Error;
use super::error::Result;
use super::message::Message;
use super::upload::upload;
use crate::http::EventParser;
use crate::memory::Account;
use crate::memory::Blob;
use crate::memory::Held;
use crate::memory::Purpose;
use crate::rpc::message::Finish;
use crate::rpc::message::Start;
use crate::scheduler::PART_TTL;
use crate::types::AttemptId;
use crate::types::Incarnation;
use crate::types::Tokens;
use crate::wire::engine::CacheEvents;
use crate::wire::engine::CancelRequest;
use crate::wire::engine::CancelResult;
use crate::wire::engine::Empty;
use crate::wire::engine::GenerateEvent;
use crate::wire::engine::GenerateRequest;
use crate::wire::engine::KvExport;
use crate::wire::engine::KvHandle;
use crate::wire::engine::KvRequest;
use crate::wire::engine::PartRelease;
use crate::wire::engine::PartRequest;
use crate::wire::engine::PartResult;
use crate::wire::engine::SequenceList;

/// The longest answer of an engine, but for its streams.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;
/// The data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// A client of one engine; clones share its connections.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Client,
    base: String,
    messages: Sender<Message>,
    account: Arc<Account>,
}

impl EngineClient {
    /// Creates a client of the engine at `addr` that reports to `messages`; what
    /// is sent to it is counted in `account`.
    ///
    /// # Errors
    /// The HTTP client cannot be set up.
    pub fn new(addr: SocketAddr, messages: Sender<Message>, account: Arc<Account>) -> Result<Self> {
        Ok(Self {
            http: Client::new()?,
            base: format!("http://{addr}"),
            messages,
            account,
        })
    }

    /// Runs one attempt and reports its tokens and its end.
    pub async fn generate(self, start: Start, priority: u8) {
        let attempt = start.quote.envelope.attempt;
        let ended = match self.stream(&start, priority).await {
            Ok(ended) => ended,
            Err(error) => {
                crate::event!(warn, "engine_failed", attempt = attempt, error = error);
                false
            }
        };
        if !ended {
            let listed = self.sequences().await;
            let incarnation = listed.ok().map(|list| Incarnation(list.incarnation));
            self.report(attempt, EngineEvent::Failed { incarnation })
                .await;
        }
    }

    /// Cancels a sequence; reconciliation with the engine's list repeats a lost request.
    pub async fn cancel(self, attempt: AttemptId) {
        let request = CancelRequest {
            request_id: attempt.to_string(),
        };
        match self.post::<_, CancelResult>("/v1/cancel", &request).await {
            Ok(_) => self.report(attempt, EngineEvent::Stopped).await,
            Err(error) => {
                crate::event!(warn, "cancel_failed", attempt = attempt, error = error);
            }
        }
    }

    /// Exports a sequence's KV cache, which pauses it.
    pub async fn export(self, attempt: AttemptId) {
        let request = KvExport {
            request_id: attempt.to_string(),
        };
        match self.post::<_, KvHandle>("/v1/kv/export", &request).await {
            Ok(export) => {
                let handle = export.handle;
                self.report(attempt, EngineEvent::Paused { handle }).await;
            }
            Err(error) => self.fail_kv_move(attempt, &error).await,
        }
    }

    /// Imports a sequence's KV cache, which resumes it.
    pub async fn import(self, attempt: AttemptId, handle: String) {
        let request = KvRequest { handle };
        if let Err(error) = self.post::<_, Empty>("/v1/kv/import", &request).await {
            self.fail_kv_move(attempt, &error).await;
        }
    }

    /// Asks the engine to hold memory for a part of a group; `true` if it does.
    pub async fn hold(&self, attempt: AttemptId, amount: Tokens) -> bool {
        let request = PartRequest {
            group: attempt.to_string(),
            tokens: amount.get(),
            ttl_ms: PART_TTL.get(),
        };
        let outcome = self.post::<_, PartResult>("/v1/parts", &request).await;
        outcome.is_ok()
    }

    /// Releases a part of a group; if the request is lost, the engine's hold expires.
    pub async fn release(self, attempt: AttemptId) {
        let request = PartRelease {
            group: attempt.to_string(),
        };
        let _ = self.post::<_, Empty>("/v1/parts/release", &request).await;
    }

    /// Reports the engine's list of sequences.
    pub async fn list(self) {
        if let Ok(list) = self.sequences().await {
            let _ = self.messages.send_async(Message::Sequences(list)).await;
        }
    }

    /// Reports the engine's cache events after sequence number `last_seq`.
    pub async fn cache_events(self, last_seq: u64) {
        let path = format!("/v1/cache/events?after={last_seq}");
        if let Ok(events) = self.get::<CacheEvents>(&path).await {
            let _ = self.messages.send_async(Message::CacheEvents(events)).await;
        }
    }

    /// Drops an export that will not be imported.
    pub async fn drop_export(self, handle: String) {
        let request = KvRequest { handle };
        let _ = self.post::<_, Empty>("/v1/kv/drop", &request).await;
    }

    /// Fails and cancels an attempt whose KV cache could not be exported or imported.
    async fn fail_kv_move(&self, attempt: AttemptId, error: &Error) {
        crate::event!(warn, "kv_move_failed", attempt = attempt, error = error);
        self.report(attempt, EngineEvent::Refused).await;
        self.clone().cancel(attempt).await;
    }

    async fn sequences(&self) -> Result<SequenceList> {
        self.get("/v1/sequences").await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = format!("{}{path}", self.base);
        let response = self.http.get(url)?.send().await?;
        self.decode(check_status(response)?).await
    }

    async fn post<B, T>(&self, path: &str, body: &B) -> Result<T>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let url = format!("{}{path}", self.base);
        let response = self.http.post(url)?.json(body)?.send().await?;
        self.decode(check_status(response)?).await
    }

    /// Reads an answer, which is counted until it is decoded.
    async fn decode<T: DeserializeOwned>(&self, response: Response) -> Result<T> {
        let mut charge = self.account.open(Purpose::Response);
        let mut text = Vec::new();
        let mut parts = response.bytes_stream();
        while let Some(part) = parts.next().await {
            text.extend_from_slice(&part?);
            if text.len() > MAX_ANSWER_BYTES {
                return Err(Error::TooLong);
            }
            // The buffer grows by doubling.
            if !charge.resize(2 * text.len()) {
                return Err(Error::NoRoom);
            }
        }
        Ok(serde_json::from_slice(&text)?)
    }

    async fn stream(&self, start: &Start, priority: u8) -> Result<bool> {
        let attempt = start.quote.envelope.attempt;
        let url = format!("{}/v1/completions", self.base);
        let body = self.encode(start, priority)?;
        let request = self.http.post(url)?.header(CONTENT_LENGTH, body.len())?;
        let request = request.header(CONTENT_TYPE, "application/json")?;
        let request = request.body(upload(Bytes::from_owner(body)));
        let response = check_status(request.send().await?)?;
        let mut bytes = response.bytes_stream();
        let mut parser = EventParser::default();
        let mut charge = self.account.open(Purpose::Response);
        while let Some(part) = bytes.next().await {
            let events = parser.push(part?.as_ref()).ok_or(Error::TooLong)?;
            if !charge.resize(parser.buffered()) {
                return Err(Error::NoRoom);
            }
            for data in events {
                if data == DONE {
                    continue;
                }
                let Ok(event) = serde_json::from_str::<GenerateEvent>(&data) else {
                    return Ok(false);
                };
                if self.report_event(attempt, event).await {
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    /// Encodes a request; the prompt is counted twice already, so that only what escapes add is counted.
    fn encode(&self, start: &Start, priority: u8) -> Result<Held<Blob>> {
        let json = serde_json::to_vec(&generate_request(start, priority))?;
        let mut charge = self.account.open(Purpose::Request);
        if !charge.resize(json.len().saturating_sub(start.text.len())) {
            return Err(Error::NoRoom);
        }
        Ok(Held::counted(Blob(json), charge))
    }

    /// Reports one event of the stream; `true` if it was the last.
    async fn report_event(&self, attempt: AttemptId, event: GenerateEvent) -> bool {
        if event.request_id != attempt.to_string() {
            return false;
        }
        let offset = Tokens(event.offset);
        let finish = event.finish_reason.as_deref();
        let finish = finish.and_then(|text| text.parse::<Finish>().ok());
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

fn check_status(response: Response) -> Result<Response> {
    if response.status().is_success() {
        Ok(response)
    } else {
        Err(Error::Status(response.status()))
    }
}

fn generate_request(start: &Start, priority: u8) -> GenerateRequest {
    let quote = &start.quote;
    GenerateRequest {
        model: quote.model.to_string(),
        prompt: start.text.to_string(),
        max_tokens: quote.output.get(),
        priority: i64::from(priority),
        request_id: quote.envelope.attempt.to_string(),
        offset: start.offset.get(),
        group: (quote.parts > 1).then(|| quote.envelope.attempt.to_string()),
    }
}
