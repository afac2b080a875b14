//! The task that owns a daemon's client of the platform's service.

use flume::Receiver;
use flume::Sender;

use super::Batch;
use super::Client;
use super::Op;
use super::Outcome;
use super::PendingWrite;
use super::Write;
use crate::timer::Clock;
use crate::types::MonoTime;

/// A message to the task.
#[derive(Debug)]
enum Message {
    /// Make this call; the sender takes its outcome.
    Call(Op, Sender<Outcome>),
    /// The gathered writes have waited long enough.
    Due,
}

/// Asks the task that owns the client; a clone asks the same one.
#[derive(Clone, Debug)]
pub struct Store {
    messages: Sender<Message>,
}

/// The task's state.
#[derive(Debug)]
struct Task {
    client: Client,
    clock: Clock,
    batch: Batch<Sender<Outcome>>,
    messages: Sender<Message>,
}

impl Store {
    /// Starts the task.
    #[must_use]
    pub fn start(client: Client, clock: Clock) -> Self {
        let (tx, rx) = flume::unbounded();
        let task = Task {
            client,
            clock,
            batch: Batch::default(),
            messages: tx.clone(),
        };
        compio::runtime::spawn(task.run(rx)).detach();
        Self { messages: tx }
    }

    /// Makes one call and says what is known of it afterwards; conditional writes that come
    /// within a few milliseconds share one.
    pub async fn call(&self, op: Op) -> Outcome {
        let (tx, rx) = flume::bounded(1);
        if self.messages.send(Message::Call(op, tx)).is_err() {
            return Outcome::Unknown;
        }
        rx.recv_async().await.unwrap_or(Outcome::Unknown)
    }
}

impl Task {
    async fn run(mut self, messages: Receiver<Message>) {
        while let Ok(message) = messages.recv_async().await {
            match message {
                Message::Call(Op::CompareAndSwap(write), reply) => self.gather(write, reply),
                Message::Call(op, reply) => self.send(op, reply),
                Message::Due => self.flush(),
            }
        }
    }

    fn gather(&mut self, write: Write, reply: Sender<Outcome>) {
        if !self.batch.accepts(&write) {
            self.flush();
        }
        let is_first = self.batch.due() == MonoTime::NEVER;
        let now = self.clock.now();
        self.batch.push(now, reply, write);
        if is_first {
            let wait = self.batch.due().since(now).duration();
            let messages = self.messages.clone();
            let alarm = async move {
                compio::time::sleep(wait).await;
                let _ = messages.send(Message::Due);
            };
            compio::runtime::spawn(alarm).detach();
        }
    }

    /// Sends what was gathered; after an early flush the next batch goes early too.
    fn flush(&mut self) {
        let writes = self.batch.take();
        if !writes.is_empty() {
            compio::runtime::spawn(commit(self.client.clone(), writes)).detach();
        }
    }

    fn send(&self, op: Op, reply: Sender<Outcome>) {
        compio::runtime::spawn(single(self.client.clone(), op, reply)).detach();
    }
}

async fn single(client: Client, op: Op, reply: Sender<Outcome>) {
    let outcome = client.call(&op).await;
    let _ = reply.send(outcome);
}

async fn commit(client: Client, writes: Vec<PendingWrite<Sender<Outcome>>>) {
    let outcome = client.call(&Batch::op(&writes)).await;
    let result = Batch::resolve(writes, &outcome);
    for (reply, outcome) in result.completed {
        let _ = reply.send(outcome);
    }
    for each in result.retry {
        let op = Op::CompareAndSwap(each.write);
        compio::runtime::spawn(single(client.clone(), op, each.waiter)).detach();
    }
}
