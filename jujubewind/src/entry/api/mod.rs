//! The HTTP API for callers.

mod dialect;
mod error_reply;
mod explain;
mod generation;
mod generation_reply;
mod handler;
mod headers;
mod route;
mod service;

pub use handler::Api;
