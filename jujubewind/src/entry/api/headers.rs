//! The headers that callers send.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use crate::types::Millis;

/// The header with the request's time in milliseconds.
pub const TIMEOUT: &str = "x-timeout-ms";
/// The header with the caller's key for calls that may not be repeated.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The bearer key, if there is one.
pub fn bearer(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(key.trim().to_owned())
}

/// The time the caller allows; `Err` if the header is no number above zero.
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

/// The caller's idempotency key; `Err` if it is empty, too long or not plain text.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ()> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_BYTES => Ok(Some(text.to_owned())),
        _ => Err(()),
    }
}
