//! Questions to entries.

use std::net::SocketAddr;

use cyper::Client;
use serde::de::DeserializeOwned;

use super::Error;
use super::Result;
use crate::entry::EntryStatus;
use crate::types::Millis;

/// The longest wait for one answer.
const TIMEOUT: Millis = Millis(3_000);

/// Asks entries over HTTP.
#[derive(Clone, Debug)]
pub struct EntryClient {
    http: Client,
}

impl EntryClient {
    /// Prepares the calls.
    ///
    /// # Errors
    /// No client can be set up.
    pub fn new() -> Result<Self> {
        let http = Client::new()?;
        Ok(Self { http })
    }

    /// How the entry at `addr` stands.
    ///
    /// # Errors
    /// No usable answer came in time.
    pub async fn status(&self, addr: SocketAddr) -> Result<EntryStatus> {
        self.get(addr, "/status").await
    }

    /// Asks with GET.
    ///
    /// # Errors
    /// No usable answer came in time.
    pub async fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T> {
        let asking = self.read(addr, path);
        match compio::time::timeout(TIMEOUT.duration(), asking).await {
            Ok(Ok((200, body))) => serde_json::from_slice(&body)
                .map_err(|cause| Error::EntryDown(addr, cause.to_string())),
            Ok(Ok((status, _))) => Err(Error::EntryDown(addr, format!("status {status}"))),
            Ok(Err(cause)) => Err(Error::EntryDown(addr, cause.to_string())),
            Err(_) => Err(Error::EntryDown(addr, "time ran out".to_owned())),
        }
    }

    async fn read(&self, addr: SocketAddr, path: &str) -> cyper::Result<(u16, Vec<u8>)> {
        let url = format!("http://{addr}{path}");
        let response = self.http.get(url)?.send().await?;
        let status = response.status().as_u16();
        Ok((status, response.bytes().await?.to_vec()))
    }
}
