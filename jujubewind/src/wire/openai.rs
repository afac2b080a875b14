//! Caller API; generated from its JSON Schema.

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
/// One answer of a chat completion.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatChoice {
    /// Why the answer ended: `stop` or `length`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    /// The index of the answer.
    pub index: u32,
    /// The answer.
    pub message: ChatMessage,
}
/// One event of a streamed chat completion.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatChunk {
    /// The answers; always exactly one.
    pub choices: ::std::vec::Vec<ChatChunkChoice>,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The request's id.
    pub id: ::std::string::String,
    /// The model's name.
    pub model: ::std::string::String,
    /// `chat.completion.chunk`.
    pub object: ::std::string::String,
    /// The token usage, only in the last event.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<Usage>,
}
/// The next piece of one answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatChunkChoice {
    /// The addition to the answer.
    pub delta: ChatDelta,
    /// Why the answer ended: `stop` or `length`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    /// The index of the answer.
    pub index: u32,
}
/// What an event adds to an answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatDelta {
    /// The next piece of text.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub content: ::std::option::Option<::std::string::String>,
    /// The author, only in the first event.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub role: ::std::option::Option<::std::string::String>,
}
impl ::std::default::Default for ChatDelta {
    fn default() -> Self {
        Self {
            content: Default::default(),
            role: Default::default(),
        }
    }
}
/// A message of a conversation.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatMessage {
    /// The text.
    pub content: ::std::string::String,
    /// The author: `system`, `user` or `assistant`.
    pub role: ::std::string::String,
}
/// The body of `POST /v1/chat/completions`; other fields are ignored.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatRequest {
    /// The newer name of `max_tokens`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_completion_tokens: ::std::option::Option<u64>,
    /// The maximum length of the answer, in tokens.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u64>,
    /// The conversation so far.
    pub messages: ::std::vec::Vec<ChatMessage>,
    /// The model's name in the catalogue.
    pub model: ::std::string::String,
    /// Whether to stream the answer as server-sent events.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub stream: ::std::option::Option<bool>,
}
/// A complete chat completion.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatResponse {
    /// The answers; always exactly one.
    pub choices: ::std::vec::Vec<ChatChoice>,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The request's id.
    pub id: ::std::string::String,
    /// The model's name.
    pub model: ::std::string::String,
    /// `chat.completion`.
    pub object: ::std::string::String,
    /// The token usage.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<Usage>,
}
/// One answer of a completion.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CompletionChoice {
    /// Why the answer ended: `stop` or `length`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    /// The index of the answer.
    pub index: u32,
    /// The text; in a stream, its next piece.
    pub text: ::std::string::String,
}
/// The body of `POST /v1/completions`; other fields are ignored.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    /// The maximum length of the answer, in tokens.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u64>,
    /// The model's name in the catalogue.
    pub model: ::std::string::String,
    /// The prompt.
    pub prompt: ::std::string::String,
    /// Whether to stream the answer as server-sent events.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub stream: ::std::option::Option<bool>,
}
/// A completion, or one event of a streamed completion.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CompletionResponse {
    /// The answers; always exactly one.
    pub choices: ::std::vec::Vec<CompletionChoice>,
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// The request's id.
    pub id: ::std::string::String,
    /// The model's name.
    pub model: ::std::string::String,
    /// `text_completion`.
    pub object: ::std::string::String,
    /// The token usage; in a stream, only in the last event.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<Usage>,
}
/// What went wrong and what to do about it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ErrorBody {
    /// The name of the reason, as used in metrics.
    pub kind: ::std::string::String,
    /// The reason in a sentence.
    pub message: ::std::string::String,
    /// Whether the request ran.
    pub ran: Ran,
    /// What the caller can do.
    pub remedy: ::std::string::String,
    /// The request's id, to find it in the logs.
    pub request_id: ::std::string::String,
    /// How long to wait before retrying, in milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
}
/// The body of error responses.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ErrorResponse {
    /// What went wrong.
    pub error: ErrorBody,
}
/// A model or service available to the caller.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Model {
    /// Seconds since the Unix epoch.
    pub created: u64,
    /// Its name in the catalogue.
    pub id: ::std::string::String,
    /// `model`.
    pub object: ::std::string::String,
    /// The organisation that owns the entry.
    pub owned_by: ::std::string::String,
}
/// The body of `GET /v1/models`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ModelList {
    /// The models and services available to the caller.
    pub data: ::std::vec::Vec<Model>,
    /// `list`.
    pub object: ::std::string::String,
}
/// Whether a refused or failed request ran.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Ran {
    /// `NotRun`
    #[serde(rename = "not_run")]
    NotRun,
    /// `Ran`
    #[serde(rename = "ran")]
    Ran,
    /// `Unknown`
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Ran {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not_run"),
            Self::Ran => f.write_str("ran"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Ran {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_run" => Ok(Self::NotRun),
            "ran" => Ok(Self::Ran),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
/// The token usage of a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Usage {
    /// Number of answer tokens.
    pub completion_tokens: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// The sum of both.
    pub total_tokens: u64,
}
