//! The two formats of generation requests and of their responses.

use std::time::SystemTime;

use crate::rpc::message::Finish;
use crate::types::ModelId;
use crate::types::RequestId;
use crate::types::Tokens;
use crate::wire::openai::ChatChoice;
use crate::wire::openai::ChatChunk;
use crate::wire::openai::ChatChunkChoice;
use crate::wire::openai::ChatDelta;
use crate::wire::openai::ChatMessage;
use crate::wire::openai::ChatRequest;
use crate::wire::openai::ChatResponse;
use crate::wire::openai::CompletionChoice;
use crate::wire::openai::CompletionRequest;
use crate::wire::openai::CompletionResponse;
use crate::wire::openai::Usage;

/// The format of a generation request and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// A generation request, independent of its format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRequest {
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub text: String,
    /// The maximum length of the answer, if the caller sets one.
    pub output: Option<Tokens>,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// Response fields that each chunk repeats.
#[derive(Clone, Debug)]
pub struct ResponseMetadata {
    /// The request.
    pub request: RequestId,
    /// The model that answers.
    pub model: ModelId,
    /// The prompt's length.
    pub prompt: Tokens,
}

impl Dialect {
    /// Parses the body of a request; `None` if it does not have this format.
    pub fn parse(self, body: &[u8]) -> Option<GenerationRequest> {
        match self {
            Self::Chat => {
                let request: ChatRequest = serde_json::from_slice(body).ok()?;
                Some(GenerationRequest {
                    model: request.model.parse().ok()?,
                    text: concatenate(&request.messages),
                    output: request
                        .max_completion_tokens
                        .or(request.max_tokens)
                        .map(Tokens),
                    stream: request.stream.unwrap_or(false),
                })
            }
            Self::Completion => {
                let request: CompletionRequest = serde_json::from_slice(body).ok()?;
                Some(GenerationRequest {
                    model: request.model.parse().ok()?,
                    text: request.prompt,
                    output: request.max_tokens.map(Tokens),
                    stream: request.stream.unwrap_or(false),
                })
            }
        }
    }

    /// Returns one chunk of a streamed response as JSON; the last has `finish` and the usage.
    pub fn chunk(
        self,
        metadata: &ResponseMetadata,
        text: &str,
        finish: Option<(Finish, Tokens)>,
    ) -> String {
        let usage = finish.map(|(_, count)| usage(metadata.prompt, count));
        let reason = finish.map(|(finish, _)| finish.to_string());
        let json = match self {
            Self::Chat => serde_json::to_string(&ChatChunk {
                id: metadata.request.to_string(),
                object: "chat.completion.chunk".to_owned(),
                created: created(),
                model: metadata.model.to_string(),
                choices: vec![ChatChunkChoice {
                    index: 0,
                    delta: ChatDelta {
                        role: Some("assistant".to_owned()),
                        content: Some(text.to_owned()),
                    },
                    finish_reason: reason,
                }],
                usage,
            }),
            Self::Completion => serde_json::to_string(&completion(metadata, text, reason, usage)),
        };
        json.unwrap_or_default()
    }

    /// Returns a complete response as JSON.
    pub fn response(
        self,
        metadata: &ResponseMetadata,
        text: String,
        finish: Finish,
        count: Tokens,
    ) -> Vec<u8> {
        let usage = Some(usage(metadata.prompt, count));
        let reason = Some(finish.to_string());
        let json = match self {
            Self::Chat => serde_json::to_vec(&ChatResponse {
                id: metadata.request.to_string(),
                object: "chat.completion".to_owned(),
                created: created(),
                model: metadata.model.to_string(),
                choices: vec![ChatChoice {
                    index: 0,
                    message: ChatMessage {
                        role: "assistant".to_owned(),
                        content: text,
                    },
                    finish_reason: reason,
                }],
                usage,
            }),
            Self::Completion => serde_json::to_vec(&completion(metadata, &text, reason, usage)),
        };
        json.unwrap_or_default()
    }
}

fn completion(
    metadata: &ResponseMetadata,
    text: &str,
    finish_reason: Option<String>,
    usage: Option<Usage>,
) -> CompletionResponse {
    CompletionResponse {
        id: metadata.request.to_string(),
        object: "text_completion".to_owned(),
        created: created(),
        model: metadata.model.to_string(),
        choices: vec![CompletionChoice {
            index: 0,
            text: text.to_owned(),
            finish_reason,
        }],
        usage,
    }
}

/// Returns the prompt: one line with role and content for each message.
fn concatenate(messages: &[ChatMessage]) -> String {
    let lines = messages
        .iter()
        .map(|m| format!("{}: {}\n", m.role, m.content));
    lines.collect()
}

fn usage(prompt: Tokens, count: Tokens) -> Usage {
    Usage {
        prompt_tokens: prompt.get(),
        completion_tokens: count.get(),
        total_tokens: prompt.saturating_add(count).get(),
    }
}

/// Returns the creation time in seconds since the Unix epoch.
fn created() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
