//! Units of catalogue limits.

crate::quantity! {
    /// Requests per second.
    pub struct RequestRate(u64), "/s";
}

crate::quantity! {
    /// Number of requests.
    pub struct Requests(u64), "req";
}

crate::quantity! {
    /// Prompt and output tokens per second.
    pub struct TokenRate(u64), "tok/s";
}

crate::quantity! {
    /// Engine time in seconds.
    pub struct EngineSeconds(u64), "es";
}
