//! The two shapes in which callers ask for an answer.

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

/// The shape of request and answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// What a caller asks of a model, whatever the shape.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wish {
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub text: String,
    /// The longest answer, if the caller names one.
    pub output: Option<Tokens>,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// The parts of an answer that every piece of it repeats.
#[derive(Clone, Debug)]
pub struct Header {
    /// The request.
    pub request: RequestId,
    /// The model that answers.
    pub model: ModelId,
    /// The prompt's length.
    pub prompt: Tokens,
}

impl Dialect {
    /// Reads a request's body; `None` if it is not of this shape.
    pub fn parse(self, body: &[u8]) -> Option<Wish> {
        match self {
            Self::Chat => {
                let request: ChatRequest = serde_json::from_slice(body).ok()?;
                Some(Wish {
                    model: request.model.parse().ok()?,
                    text: conversation(&request.messages),
                    output: request
                        .max_completion_tokens
                        .or(request.max_tokens)
                        .map(Tokens),
                    stream: request.stream.unwrap_or(false),
                })
            }
            Self::Completion => {
                let request: CompletionRequest = serde_json::from_slice(body).ok()?;
                Some(Wish {
                    model: request.model.parse().ok()?,
                    text: request.prompt,
                    output: request.max_tokens.map(Tokens),
                    stream: request.stream.unwrap_or(false),
                })
            }
        }
    }

    /// One piece of a streamed answer, as JSON; the last has `finish` and the whole count.
    pub fn piece(self, header: &Header, text: &str, finish: Option<(Finish, Tokens)>) -> String {
        let usage = finish.map(|(_, count)| usage(header.prompt, count));
        let reason = finish.map(|(finish, _)| finish.to_string());
        let json = match self {
            Self::Chat => serde_json::to_string(&ChatChunk {
                id: header.request.to_string(),
                object: "chat.completion.chunk".to_owned(),
                created: created(),
                model: header.model.to_string(),
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
            Self::Completion => serde_json::to_string(&completion(header, text, reason, usage)),
        };
        json.unwrap_or_default()
    }

    /// A whole answer, as JSON.
    pub fn whole(self, header: &Header, text: String, finish: Finish, count: Tokens) -> Vec<u8> {
        let usage = Some(usage(header.prompt, count));
        let reason = Some(finish.to_string());
        let json = match self {
            Self::Chat => serde_json::to_vec(&ChatResponse {
                id: header.request.to_string(),
                object: "chat.completion".to_owned(),
                created: created(),
                model: header.model.to_string(),
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
            Self::Completion => serde_json::to_vec(&completion(header, &text, reason, usage)),
        };
        json.unwrap_or_default()
    }
}

fn completion(
    header: &Header,
    text: &str,
    finish_reason: Option<String>,
    usage: Option<Usage>,
) -> CompletionResponse {
    CompletionResponse {
        id: header.request.to_string(),
        object: "text_completion".to_owned(),
        created: created(),
        model: header.model.to_string(),
        choices: vec![CompletionChoice {
            index: 0,
            text: text.to_owned(),
            finish_reason,
        }],
        usage,
    }
}

fn conversation(messages: &[ChatMessage]) -> String {
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

/// Seconds since the Unix epoch, as the callers' protocol wants them.
fn created() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}
