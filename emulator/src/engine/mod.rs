//! The stand-in for a model engine: batches continuously, caches prefixes, exports KV caches.

pub mod core;
