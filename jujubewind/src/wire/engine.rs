//! Engine API; generated from its JSON Schema.

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
/// What happened to a block of the prefix cache.
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
pub enum CacheChange {
    /// `Stored`
    #[serde(rename = "stored")]
    Stored,
    /// `Evicted`
    #[serde(rename = "evicted")]
    Evicted,
}
impl ::std::fmt::Display for CacheChange {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Stored => f.write_str("stored"),
            Self::Evicted => f.write_str("evicted"),
        }
    }
}
impl ::std::str::FromStr for CacheChange {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "stored" => Ok(Self::Stored),
            "evicted" => Ok(Self::Evicted),
            _ => Err("invalid value".into()),
        }
    }
}
/// A change of the prefix cache.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CacheEvent {
    /// The hash of the block and all preceding blocks.
    pub block: crate::wire::Uint64,
    /// What happened.
    pub kind: CacheChange,
    /// The sequence number of the event; a gap means that an event was lost.
    pub seq: u64,
}
/// The answer to `GET /v1/cache/events?after=N`; events can be late or missing.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CacheEvents {
    /// The events after N, in order of `seq`.
    pub events: ::std::vec::Vec<CacheEvent>,
    /// The highest `seq` so far.
    pub last: u64,
}
/// The body of `POST /v1/cancel`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CancelRequest {
    /// The sequence to cancel.
    pub request_id: ::std::string::String,
}
/// The answer to `POST /v1/cancel`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CancelResult {
    /// The state of the sequence when it was cancelled.
    pub state: CancelState,
}
/// The state of a sequence when it was cancelled.
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
pub enum CancelState {
    /// `NotStarted`
    #[serde(rename = "not_started")]
    NotStarted,
    /// `Cancelled`
    #[serde(rename = "cancelled")]
    Cancelled,
    /// `Finished`
    #[serde(rename = "finished")]
    Finished,
    /// `Unknown`
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for CancelState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotStarted => f.write_str("not_started"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::Finished => f.write_str("finished"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for CancelState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_started" => Ok(Self::NotStarted),
            "cancelled" => Ok(Self::Cancelled),
            "finished" => Ok(Self::Finished),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
/// An empty answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Empty {
    /// Always true.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub ok: ::std::option::Option<bool>,
}
impl ::std::default::Default for Empty {
    fn default() -> Self {
        Self { ok: Default::default() }
    }
}
/// The body of an engine's error response.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EngineError {
    /// What went wrong.
    pub error: EngineFault,
}
/// Why an engine refused or failed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EngineFault {
    /// The reason.
    pub code: FaultCode,
    /// The reason in a sentence.
    pub message: ::std::string::String,
}
/// The answer to `GET /v1/load`; lags behind the actual load.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EngineLoad {
    /// The age of the report, in milliseconds.
    pub age_ms: u64,
    /// KV memory capacity, in tokens.
    pub capacity: u64,
    /// Free KV memory, in tokens.
    pub free: u64,
    /// Number of sequences in the batch.
    pub running: u64,
    /// Number of sequences waiting for memory or a batch slot.
    pub waiting: u64,
}
/// The token usage of a sequence.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EngineUsage {
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
}
/// Why an engine refused or failed.
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
pub enum FaultCode {
    /// `UnknownModel`
    #[serde(rename = "unknown_model")]
    UnknownModel,
    /// `NoMemory`
    #[serde(rename = "no_memory")]
    NoMemory,
    /// `TooLong`
    #[serde(rename = "too_long")]
    TooLong,
    /// `StaleFence`
    #[serde(rename = "stale_fence")]
    StaleFence,
    /// `Crashed`
    #[serde(rename = "crashed")]
    Crashed,
    /// `BadRequest`
    #[serde(rename = "bad_request")]
    BadRequest,
    /// `UnknownSequence`
    #[serde(rename = "unknown_sequence")]
    UnknownSequence,
}
impl ::std::fmt::Display for FaultCode {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::UnknownModel => f.write_str("unknown_model"),
            Self::NoMemory => f.write_str("no_memory"),
            Self::TooLong => f.write_str("too_long"),
            Self::StaleFence => f.write_str("stale_fence"),
            Self::Crashed => f.write_str("crashed"),
            Self::BadRequest => f.write_str("bad_request"),
            Self::UnknownSequence => f.write_str("unknown_sequence"),
        }
    }
}
impl ::std::str::FromStr for FaultCode {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "unknown_model" => Ok(Self::UnknownModel),
            "no_memory" => Ok(Self::NoMemory),
            "too_long" => Ok(Self::TooLong),
            "stale_fence" => Ok(Self::StaleFence),
            "crashed" => Ok(Self::Crashed),
            "bad_request" => Ok(Self::BadRequest),
            "unknown_sequence" => Ok(Self::UnknownSequence),
            _ => Err("invalid value".into()),
        }
    }
}
/// One server-sent event of a streamed answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GenerateEvent {
    /// Why the answer ended: `stop`, `length` or `cancelled`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::string::String>,
    /// The offset in the answer of the first token of `text`.
    pub offset: u64,
    /// The sequence's id.
    pub request_id: ::std::string::String,
    /// One or more tokens, each ending in a space.
    pub text: ::std::string::String,
    /// The token usage, in the last event.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<EngineUsage>,
}
/// The body of `POST /v1/completions` of an engine.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GenerateRequest {
    /// The group of parts that holds the sequence's memory.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub group: ::std::option::Option<::std::string::String>,
    /// The maximum length of the answer, in tokens, counted from its start rather than `offset`.
    pub max_tokens: u64,
    /// The model's name.
    pub model: ::std::string::String,
    /// The offset of the first requested token of the answer.
    pub offset: u64,
    /// The priority; a lower number runs sooner.
    pub priority: i64,
    /// The prompt.
    pub prompt: ::std::string::String,
    /// The id of the sequence at the engine.
    pub request_id: ::std::string::String,
}
/// The body of `POST /v1/kv/export`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KvExport {
    /// The sequence to pause; its stream stays open, without events.
    pub request_id: ::std::string::String,
}
/// An exported KV cache.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KvHandle {
    /// The handle to import it with.
    pub handle: ::std::string::String,
    /// Its length in tokens.
    pub tokens: u64,
}
/// The body of `POST /v1/kv/import` and `POST /v1/kv/drop`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KvRequest {
    /// The handle of the exported KV cache.
    pub handle: ::std::string::String,
}
/// The body of `POST /v1/orders`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Order {
    /// The fencing token.
    pub fence: u64,
    /// The kind of order.
    pub kind: OrderKind,
    /// The model, adapter or role.
    pub name: ::std::string::String,
    /// The version to load.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<::std::string::String>,
}
/// The kind of an order.
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
pub enum OrderKind {
    /// `LoadModel`
    #[serde(rename = "load_model")]
    LoadModel,
    /// `LoadAdapter`
    #[serde(rename = "load_adapter")]
    LoadAdapter,
    /// `SetRole`
    #[serde(rename = "set_role")]
    SetRole,
    /// `Unload`
    #[serde(rename = "unload")]
    Unload,
}
impl ::std::fmt::Display for OrderKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::LoadModel => f.write_str("load_model"),
            Self::LoadAdapter => f.write_str("load_adapter"),
            Self::SetRole => f.write_str("set_role"),
            Self::Unload => f.write_str("unload"),
        }
    }
}
impl ::std::str::FromStr for OrderKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "load_model" => Ok(Self::LoadModel),
            "load_adapter" => Ok(Self::LoadAdapter),
            "set_role" => Ok(Self::SetRole),
            "unload" => Ok(Self::Unload),
            _ => Err("invalid value".into()),
        }
    }
}
/// The engine's state after an order.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct OrderResult {
    /// The highest fencing token seen.
    pub fence: u64,
    /// The models and adapters loaded, each `name` or `name@version`.
    pub loaded: ::std::vec::Vec<::std::string::String>,
}
/// The body of `POST /v1/parts/release`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PartRelease {
    /// The group whose part is released.
    pub group: ::std::string::String,
}
/// The body of `POST /v1/parts`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PartRequest {
    /// The group that the part belongs to.
    pub group: ::std::string::String,
    /// KV memory to reserve, in tokens.
    pub tokens: u64,
    /// The reservation expires by itself after this time.
    pub ttl_ms: u64,
}
/// A reserved part.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PartResult {
    /// The name of the part.
    pub handle: ::std::string::String,
}
/// A sequence or part that an engine knows.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Sequence {
    /// The id of the sequence, or the group of the part.
    pub request_id: ::std::string::String,
    /// Its state.
    pub state: SequenceState,
    /// KV memory held or waited for, in tokens.
    pub tokens: u64,
}
/// The answer to `GET /v1/sequences`; exact, unlike `GET /v1/load`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SequenceList {
    /// KV memory capacity, in tokens.
    pub capacity: u64,
    /// The exported KV caches that were neither imported nor dropped.
    pub exports: ::std::vec::Vec<KvHandle>,
    /// KV memory not held by any sequence, export or part, in tokens.
    pub free: u64,
    /// The incarnation of the engine; higher after each restart.
    pub incarnation: u64,
    /// The sequences and parts that hold memory or wait for it.
    pub sequences: ::std::vec::Vec<Sequence>,
}
/// The state of a sequence.
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
pub enum SequenceState {
    /// `Waiting`
    #[serde(rename = "waiting")]
    Waiting,
    /// `Running`
    #[serde(rename = "running")]
    Running,
    /// `Paused`
    #[serde(rename = "paused")]
    Paused,
    /// `Part`
    #[serde(rename = "part")]
    Part,
}
impl ::std::fmt::Display for SequenceState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Waiting => f.write_str("waiting"),
            Self::Running => f.write_str("running"),
            Self::Paused => f.write_str("paused"),
            Self::Part => f.write_str("part"),
        }
    }
}
impl ::std::str::FromStr for SequenceState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "waiting" => Ok(Self::Waiting),
            "running" => Ok(Self::Running),
            "paused" => Ok(Self::Paused),
            "part" => Ok(Self::Part),
            _ => Err("invalid value".into()),
        }
    }
}
