//! Message types of external interfaces: callers, engines, plain services and the platform.
//!
//! `cargo run -p codegen` generates them from the JSON Schemas in `schema/`.

mod base64;
mod number;

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic)]
pub mod engine;
#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic)]
pub mod openai;
#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic)]
pub mod platform;
#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic)]
pub mod service;

pub use base64::Base64;
pub use number::Int64;
pub use number::Uint64;
