//! HTTP client for the status endpoints of entries.

use std::net::SocketAddr;

use cyper::Client;
use serde::de::DeserializeOwned;

use super::Error;
use super::Result;
use crate::entry::EntryStatus;
use crate::types::Millis;
use crate::wire::openai::ErrorResponse;

/// How long to wait for one answer.
const CALL_TIMEOUT: Millis = Millis(3_000);

/// Queries entries over HTTP.
#[derive(Clone, Debug)]
pub struct EntryClient {
    http: Client,
}

impl EntryClient {
    /// Creates a client.
    ///
    /// # Errors
    /// The HTTP client cannot be created.
    pub fn new() -> Result<Self> {
        let http = Client::new()?;
        Ok(Self { http })
    }

    /// Returns the status of the entry at `addr`.
    ///
    /// # Errors
    /// The entry gives no usable answer in time, or refuses the request.
    pub async fn status(&self, addr: SocketAddr) -> Result<EntryStatus> {
        self.get(addr, "/status").await
    }

    /// Sends a GET request and parses the JSON answer.
    ///
    /// # Errors
    /// The entry gives no usable answer in time, or refuses the request.
    pub async fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T> {
        let response = self.fetch(addr, path);
        match compio::time::timeout(CALL_TIMEOUT.duration(), response).await {
            Ok(Ok((200, body))) => serde_json::from_slice(&body)
                .map_err(|cause| Error::EntryDown(addr, cause.to_string())),
            Ok(Ok((status, body))) => Err(refusal(addr, status, &body)),
            Ok(Err(cause)) => Err(Error::EntryDown(addr, cause.to_string())),
            Err(_) => Err(Error::EntryDown(addr, "timed out".to_owned())),
        }
    }

    async fn fetch(&self, addr: SocketAddr, path: &str) -> cyper::Result<(u16, Vec<u8>)> {
        let url = format!("http://{addr}{path}");
        let response = self.http.get(url)?.send().await?;
        let status = response.status().as_u16();
        Ok((status, response.bytes().await?.to_vec()))
    }
}

/// Reads the refusal from the body; without one, the server is probably not an entry.
fn refusal(addr: SocketAddr, status: u16, body: &[u8]) -> Error {
    match serde_json::from_slice::<ErrorResponse>(body) {
        Ok(response) => Error::EntryRefused(addr, response.error.message),
        Err(_) => Error::EntryDown(addr, format!("status {status}")),
    }
}
