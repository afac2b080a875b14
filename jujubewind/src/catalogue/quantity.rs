//! Numbers with units that only limits use.

crate::quantity! {
    /// A rate of requests.
    pub struct RequestRate(u64), "/s";
}

crate::quantity! {
    /// A count of requests.
    pub struct Requests(u64), "req";
}

crate::quantity! {
    /// A rate of tokens, of prompts and answers together.
    pub struct TokenRate(u64), "tok/s";
}

crate::quantity! {
    /// Engine time.
    pub struct EngineSeconds(u64), "es";
}
