//! Small tasks that turn time and signals into messages.

use flume::Receiver;
use flume::Sender;

use super::message::Message;
use crate::daemon;
use crate::types::MonoTime;

/// Sends the message that `make` makes each period.
pub(super) async fn forward_ticks(
    ticks: Receiver<MonoTime>,
    messages: Sender<Message>,
    make: fn() -> Message,
) {
    while ticks.recv_async().await.is_ok() {
        if messages.send(make()).is_err() {
            return;
        }
    }
}

/// Sends word of each stop signal.
pub(super) async fn forward_stop(messages: Sender<Message>) {
    while daemon::stop_signal().await.is_ok() {
        if messages.send(Message::Stop).is_err() {
            return;
        }
    }
}
