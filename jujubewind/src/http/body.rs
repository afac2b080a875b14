//! Reading of request bodies with limits on size, time and memory.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Bytes as Data;
use hyper::body::Incoming;

use super::BodyBudget;
use super::Error;
use super::HeldBody;
use super::Result;
use crate::types::Bytes;
use crate::types::Millis;

/// Reads a body of at most `limit` bytes within `timeout`, as far as the budget has room for it. The
/// rest of a body without room is read and dropped: a caller that is still sending when its connection
/// is closed may not get the reply.
///
/// # Errors
/// The body is too large, arrives too slowly, is interrupted, or there is no room for it.
pub async fn read_body(
    body: Incoming,
    limit: Bytes,
    timeout: Millis,
    budget: &Arc<BodyBudget>,
) -> Result<Data> {
    if body.size_hint().lower() > limit.get() {
        return Err(Error::TooLarge(limit));
    }
    let mut has_room = true;
    let reading = collect(body, limit, budget, &mut has_room);
    match compio::time::timeout(timeout.duration(), reading).await {
        Ok(outcome) => outcome,
        Err(_) if has_room => Err(Error::TooSlow(timeout)),
        Err(_) => Err(Error::NoRoom),
    }
}

async fn collect(
    mut body: Incoming,
    limit: Bytes,
    budget: &Arc<BodyBudget>,
    has_room: &mut bool,
) -> Result<Data> {
    let mut held = Some(budget.begin());
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(Error::Interrupted)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        length += data.len() as u64;
        if length > limit.get() {
            return Err(Error::TooLarge(limit));
        }
        if held.as_mut().is_some_and(|held| !held.push(data)) {
            held = None;
            *has_room = false;
        }
    }
    held.map(HeldBody::finish).ok_or(Error::NoRoom)
}
