//! Request headers of callers.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use crate::types::Millis;

/// The header with the timeout of the request in milliseconds.
pub const TIMEOUT: &str = "x-timeout-ms";
/// The header with the key that identifies a call that runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Returns the bearer key, if there is one.
pub fn bearer(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(key.trim().to_owned())
}

/// Returns the caller's timeout; `Err` if the header is not a positive integer.
pub fn timeout(headers: &HeaderMap) -> Result<Option<Millis>, ()> {
    let Some(value) = headers.get(TIMEOUT) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    match millis {
        Some(Millis(0)) | None => Err(()),
        Some(millis) => Ok(Some(millis)),
    }
}

/// Returns the caller's idempotency key; `Err` if it is empty, too long or not visible ASCII.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ()> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_BYTES => Ok(Some(text.to_owned())),
        _ => Err(()),
    }
}
