//! Reading of request bodies with limits on size, time and memory.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use super::BodyBudget;
use super::Error;
use super::HeldBody;
use super::Result;
use super::WholeBody;
use crate::timer::Clock;
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
    clock: Clock,
) -> Result<WholeBody> {
    if body.is_end_stream() {
        return Ok(WholeBody::default());
    }
    if body.size_hint().lower() > limit.get() {
        return Err(Error::TooLarge(limit));
    }
    let mut has_room = true;
    let reading = collect(body, limit, budget, clock, &mut has_room);
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
    clock: Clock,
    has_room: &mut bool,
) -> Result<WholeBody> {
    let mut held = Some(budget.begin_request(clock.now()));
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
        if held
            .as_mut()
            .is_some_and(|held| !held.push(clock.now(), data))
        {
            held = None;
            *has_room = false;
        }
    }
    held.and_then(HeldBody::finish).ok_or(Error::NoRoom)
}
