//! Reading of request bodies with limits on size and time.

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use super::Error;
use super::Result;
use crate::types::Bytes;
use crate::types::Millis;

/// Reads a body of at most `limit` bytes within `timeout`.
///
/// # Errors
/// The body is too large, arrives too slowly or is interrupted.
pub async fn read_body(body: Incoming, limit: Bytes, timeout: Millis) -> Result<Vec<u8>> {
    if body.size_hint().lower() > limit.get() {
        return Err(Error::TooLarge(limit));
    }
    match compio::time::timeout(timeout.duration(), collect(body, limit)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Error::TooSlow(timeout)),
    }
}

async fn collect(mut body: Incoming, limit: Bytes) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(Error::Interrupted)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if (bytes.len() + data.len()) as u64 > limit.get() {
            return Err(Error::TooLarge(limit));
        }
        bytes.extend_from_slice(data);
    }
    Ok(bytes)
}
