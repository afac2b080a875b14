//! Another backend server takes a stream over from one that is silent.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;

use super::exchange::Exchange;
use super::target::Target;
use super::upstream_response::UpstreamResponse;
use crate::direct::Dialect;
use crate::direct::Retry;

/// Completes with a response that was read up to its first events, or `None` if no backend server
/// takes the stream over.
pub(super) type Takeover = Pin<Box<dyn Future<Output = Option<UpstreamResponse>>>>;

/// Sends the rest of a stream to another backend server and waits for its first event after `last`,
/// the last one that the caller has, which may advance meanwhile.
pub(super) fn take_over<D: Dialect>(
    exchange: Rc<Exchange<D>>,
    target: Target,
    last: Rc<Cell<Option<u64>>>,
    retry: Retry,
) -> Takeover {
    let left = exchange.left(&target);
    Box::pin(async move {
        let opening = open(&exchange, &target, &last, retry);
        let opened = compio::time::timeout(left.duration(), opening).await;
        opened.unwrap_or_else(|_| {
            exchange.log_kept(&"no event in time");
            None
        })
    })
}

async fn open<D: Dialect>(
    exchange: &Exchange<D>,
    target: &Target,
    last: &Cell<Option<u64>>,
    retry: Retry,
) -> Option<UpstreamResponse> {
    match exchange.open_begun(target, last.get(), last, retry).await {
        Ok(upstream) if upstream.response.status().is_success() => Some(upstream),
        Ok(upstream) => {
            exchange.log_kept(&upstream.response.status());
            None
        }
        Err(failure) => {
            exchange.log_kept(&failure.reason);
            None
        }
    }
}
