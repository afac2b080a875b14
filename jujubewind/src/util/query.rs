//! Request-reply calls to a task that owns its state.

use flume::Sender;

/// Sends the message that `message` builds around a reply channel, and waits for the reply; `None`
/// if the task has ended.
///
/// The channel to the task must be unbounded: sending to a full channel would block the thread.
pub async fn query<M, T>(task: &Sender<M>, message: impl FnOnce(Sender<T>) -> M) -> Option<T> {
    let (tx, rx) = flume::bounded(1);
    task.send(message(tx)).ok()?;
    rx.recv_async().await.ok()
}
