//! Asking a task that owns its state.

use flume::Sender;

/// Sends the message that `message` makes around a reply channel, and waits for the reply; `None`
/// when the task has ended. The channel must be unbounded, or a full one blocks the thread.
pub async fn query<M, T>(task: &Sender<M>, message: impl FnOnce(Sender<T>) -> M) -> Option<T> {
    let (tx, rx) = flume::bounded(1);
    task.send(message(tx)).ok()?;
    rx.recv_async().await.ok()
}
