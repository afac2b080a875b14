//! The callers' HTTP interface.

mod answer;
mod dialect;
mod error_reply;
mod explain;
mod generation;
mod handler;
mod headers;
mod route;
mod service;

pub use handler::Api;
