//! Lets other tasks run.

use std::future::poll_fn;
use std::task::Poll;

/// Queues the calling task behind those that are ready.
///
/// The runtime reads from a socket at once if bytes have arrived, so that a loop of reads does not
/// wait while its peers send without a pause.
pub async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
