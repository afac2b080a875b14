//! The responses of a plain service.

use std::sync::Arc;

use cyper::Response;
use futures::StreamExt;

use super::error::Error;
use super::error::Result;
use crate::http::BodyBudget;
use crate::http::HeldBody;
use crate::memory::Blob;
use crate::memory::Charge;
use crate::memory::Held;
use crate::memory::Purpose;
use crate::timer::Clock;
use crate::types::Millis;

/// The longest response that is passed on.
const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;
/// How often a response that waits for room checks for it.
const ROOM_CHECK_PERIOD: Millis = Millis(20);

/// Reads a response. One with an announced length waits for room in its socket; of one without, as
/// much as there is room for is read.
///
/// # Errors
/// The connection broke, the response is too long, or there is no room for it.
pub(super) async fn download(
    response: Response,
    bodies: &Arc<BodyBudget>,
    clock: Clock,
) -> Result<Held<Blob>> {
    let Some(length) = response.content_length() else {
        return download_unannounced(response, bodies, clock).await;
    };
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > MAX_RESPONSE_BYTES {
        return Err(Error::TooLong);
    }
    let mut charge = bodies.account().open(Purpose::Response);
    let needed = 2 * length; // Once more for its frame.
    if !charge.may_hold(needed) {
        return Err(Error::NoRoom);
    }
    while !charge.resize(needed) {
        compio::time::sleep(ROOM_CHECK_PERIOD.duration()).await;
    }
    let mut bytes = Vec::with_capacity(length);
    let mut parts = response.bytes_stream();
    while let Some(part) = parts.next().await {
        bytes.extend_from_slice(&part?);
    }
    Ok(held(bytes, charge))
}

async fn download_unannounced(
    response: Response,
    bodies: &Arc<BodyBudget>,
    clock: Clock,
) -> Result<Held<Blob>> {
    let mut body = bodies.begin_response(clock.now());
    let mut parts = response.bytes_stream();
    while let Some(part) = parts.next().await {
        if !body.push(clock.now(), &part?) {
            return Err(Error::NoRoom);
        }
        if body.len() > MAX_RESPONSE_BYTES {
            return Err(Error::TooLong);
        }
    }
    let body = HeldBody::finish(body).ok_or(Error::NoRoom)?;
    let bytes = body.to_vec();
    Ok(match body.into_charge() {
        Some(charge) => held(bytes, charge),
        None => Blob(bytes).into(),
    })
}

fn held(bytes: Vec<u8>, mut charge: Charge) -> Held<Blob> {
    // There is always room for less.
    let _ = charge.resize(bytes.len());
    Held::counted(Blob(bytes), charge)
}
