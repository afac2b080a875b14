//! The task that makes a daemon's store calls and batches its conditional writes.

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
    /// Make this call and send its outcome.
    Call(Op, Sender<Outcome>),
    /// Send the batch, as its window has ended.
    Flush,
}

/// Handle of the store task; clones share the task.
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

    /// Makes one call and returns what is known about its effect; conditional writes made within a
    /// few milliseconds are batched.
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
                Message::Call(Op::CompareAndSwap(write), reply) => self.add_write(write, reply),
                Message::Call(op, reply) => self.send(op, reply),
                Message::Flush => self.flush(),
            }
        }
    }

    fn add_write(&mut self, write: Write, reply: Sender<Outcome>) {
        if !self.batch.accepts(&write) {
            self.flush();
        }
        let is_first = self.batch.due() == MonoTime::NEVER;
        let now = self.clock.now();
        self.batch.push(now, reply, write);
        if is_first {
            let wait = self.batch.due().since(now).duration();
            let messages = self.messages.clone();
            let timer = async move {
                compio::time::sleep(wait).await;
                let _ = messages.send(Message::Flush);
            };
            compio::runtime::spawn(timer).detach();
        }
    }

    /// Sends the batch. After an early flush, the pending timer also flushes the next batch early.
    fn flush(&mut self) {
        let writes = self.batch.take();
        if !writes.is_empty() {
            compio::runtime::spawn(commit(self.client.clone(), writes)).detach();
        }
    }

    fn send(&self, op: Op, reply: Sender<Outcome>) {
        compio::runtime::spawn(call_store(self.client.clone(), op, reply)).detach();
    }
}

async fn call_store(client: Client, op: Op, reply: Sender<Outcome>) {
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
        compio::runtime::spawn(call_store(client.clone(), op, each.waiter)).detach();
    }
}
