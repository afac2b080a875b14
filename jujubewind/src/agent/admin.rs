//! The agent's HTTP interface for the platform and operators.

use std::rc::Rc;

use flume::Sender;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;

use super::message::Message;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::json;
use crate::http::plain;
use crate::util::query;

/// Answers `/livez`, `/readyz`, `/metrics` and `/status`.
#[derive(Clone, Debug)]
pub struct Admin {
    messages: Sender<Message>,
}

impl Admin {
    /// Creates an interface that queries the agent's task.
    pub fn new(messages: Sender<Message>) -> Self {
        Self { messages }
    }

    async fn ready(&self) -> Reply {
        match query(&self.messages, Message::Status).await {
            Some(status) if !status.leaving => plain(StatusCode::OK, "ready\n"),
            _ => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    async fn status(&self) -> Reply {
        match query(&self.messages, Message::Status).await {
            Some(status) => json(StatusCode::OK, &status),
            None => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }

    async fn metrics(&self) -> Reply {
        let text = query(&self.messages, Message::Metrics)
            .await
            .unwrap_or_default();
        plain(StatusCode::OK, text)
    }
}

impl Handler for Admin {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        match request.uri().path() {
            "/livez" => plain(StatusCode::OK, "live\n"),
            "/readyz" => self.ready().await,
            "/status" => self.status().await,
            "/metrics" => self.metrics().await,
            _ => plain(
                StatusCode::NOT_FOUND,
                "use /livez, /readyz, /status or /metrics\n",
            ),
        }
    }
}
