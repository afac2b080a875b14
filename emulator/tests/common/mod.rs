//! Emulators on free ports and HTTP helpers.

#![allow(dead_code)]

pub mod virtual_time;

use std::net::TcpListener;

use compio::runtime::Runtime;
use hyper::StatusCode;
use jujube_emulator::engine::EngineOptions;
use jujube_emulator::engine::core::EngineConfig;
use jujube_emulator::http::RunningServer;
use jujube_emulator::platform::PlatformOptions;
use jujube_emulator::service::ServiceFaults;
use jujubewind::types::Millis;
use serde_json::Value;

/// Time after which a call counts as pending.
const PENDING_TIME: std::time::Duration = std::time::Duration::from_millis(200);

/// Listens on a free port.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port is free")
}

/// Starts an engine at 20 times real time.
pub fn engine() -> RunningServer {
    let options = EngineOptions {
        config: EngineConfig {
            models: vec!["m".to_owned()],
            restart: Millis(100),
            ..EngineConfig::default()
        },
        speed: 20.0,
        ..EngineOptions::default()
    };
    RunningServer::start(listener(), |listener| {
        jujube_emulator::engine::serve(listener, options)
    })
    .expect("the engine starts")
}

/// Starts a plain service without faults.
pub fn service() -> RunningServer {
    RunningServer::start(listener(), |listener| {
        jujube_emulator::service::serve(listener, ServiceFaults::default())
    })
    .expect("the service starts")
}

/// Starts a platform.
pub fn platform(options: PlatformOptions) -> RunningServer {
    RunningServer::start(listener(), |listener| {
        jujube_emulator::platform::serve(listener, options)
    })
    .expect("the platform starts")
}

/// Runs `work` on a new runtime.
pub fn block_on<T>(work: impl Future<Output = T>) -> T {
    Runtime::new().expect("the runtime starts").block_on(work)
}

/// Posts JSON; `None` if the connection was closed without a response.
pub async fn post(
    server: &RunningServer,
    path: &str,
    body: &Value,
) -> Option<(StatusCode, String)> {
    post_with(server, path, body, &[]).await
}

/// Posts JSON with headers.
pub async fn post_with(
    server: &RunningServer,
    path: &str,
    body: &Value,
    headers: &[(&str, &str)],
) -> Option<(StatusCode, String)> {
    let client = cyper::Client::new().expect("a client");
    let mut request = client.post(server.url() + path).expect("a URL");
    for (name, value) in headers {
        request = request.header(*name, *value).expect("a header");
    }
    let response = request.json(body).expect("JSON").send().await.ok()?;
    let status = response.status();
    Some((status, response.text().await.ok()?))
}

/// Sends a GET request and parses the JSON response.
pub async fn get(server: &RunningServer, path: &str) -> Value {
    let client = cyper::Client::new().expect("a client");
    let request = client.get(server.url() + path).expect("a URL");
    let response = request.send().await.expect("an answer");
    response.json().await.expect("JSON")
}

/// Whether `work` is still pending after [`PENDING_TIME`].
pub async fn is_pending(work: impl Future + Unpin) -> bool {
    let timeout = std::pin::pin!(compio::time::sleep(PENDING_TIME));
    let first = futures::future::select(work, timeout).await;
    matches!(first, futures::future::Either::Right(_))
}

/// Posts JSON and parses the JSON response.
pub async fn post_json(server: &RunningServer, path: &str, body: &Value) -> Value {
    let (_, text) = post(server, path, body).await.expect("an answer");
    serde_json::from_str(&text).expect("JSON")
}
