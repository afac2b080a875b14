//! HTTP requests to the components.

use std::net::SocketAddr;

use cyper::Client;
use cyper::Response;
use serde::de::DeserializeOwned;

use super::KEY;
use super::Result;
use super::catalogue::SERVICE;

/// Sends a GET request and parses the JSON response.
pub(super) async fn get<T: DeserializeOwned>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
) -> Result<T> {
    let request = client.get(format!("http://{addr}{path}"))?;
    let response = request.send().await?;
    Ok(response.json().await?)
}

/// Calls the plain service through an entry.
pub(super) async fn call(
    client: &Client,
    entry: SocketAddr,
    method: &str,
    key: &str,
) -> Result<Response> {
    let url = format!("http://{entry}/v1/services/{SERVICE}/{method}");
    let request = client.post(url)?.bearer_auth(KEY)?;
    let request = request.header("idempotency-key", key)?;
    Ok(request.body("{}").send().await?)
}
