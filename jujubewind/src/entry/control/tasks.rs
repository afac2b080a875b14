//! Helper tasks that forward ticks and stop signals as messages.

use flume::Receiver;
use flume::Sender;

use super::message::Message;
use crate::daemon;
use crate::types::MonoTime;

/// Sends the message built by `make` at each tick.
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

/// Sends [`Message::Stop`] at each stop signal.
pub(super) async fn forward_stop(messages: Sender<Message>) {
    while daemon::stop_signal().await.is_ok() {
        if messages.send(Message::Stop).is_err() {
            return;
        }
    }
}
