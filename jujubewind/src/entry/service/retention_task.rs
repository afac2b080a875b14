//! The task that maintains the store lease for new claims.

use flume::Receiver;
use flume::Sender;

use crate::claims::Retention;
use crate::store::LeaseId;
use crate::store::Outcome;
use crate::store::Store;
use crate::timer::Clock;
use crate::timer::TimerService;
use crate::types::Millis;

/// How often the age of the lease is checked.
const CHECK_INTERVAL: Millis = Millis(200);

/// A message to the task.
enum Message {
    /// Requests the lease.
    Request(Sender<Option<LeaseId>>),
    /// The store answered.
    StoreAnswered(Outcome),
    /// Checks the age of the lease.
    Tick,
}

/// The task's state.
struct Task {
    retention: Retention,
    store: Store,
    clock: Clock,
    messages: Sender<Message>,
    /// Whether a request to the store is in progress.
    is_requesting: bool,
    /// Requests that wait for the answer of the store.
    waiting: Vec<Sender<Option<LeaseId>>>,
}

/// Starts the task; it answers each request with the lease, or `None` if the store granted none.
pub(super) fn start(store: Store, timer: &TimerService) -> Sender<Sender<Option<LeaseId>>> {
    let (requests, incoming) = flume::unbounded();
    let (tx, rx) = flume::unbounded();
    let mut task = Task {
        retention: Retention::default(),
        store,
        clock: timer.clock(),
        messages: tx.clone(),
        is_requesting: false,
        waiting: Vec::new(),
    };
    task.tick();
    compio::runtime::spawn(forward(incoming, tx.clone(), Message::Request)).detach();
    compio::runtime::spawn(forward(timer.subscribe(CHECK_INTERVAL), tx, |_| {
        Message::Tick
    }))
    .detach();
    compio::runtime::spawn(task.run(rx)).detach();
    requests
}

async fn forward<T>(from: Receiver<T>, to: Sender<Message>, message: impl Fn(T) -> Message) {
    while let Ok(value) = from.recv_async().await {
        if to.send(message(value)).is_err() {
            return;
        }
    }
}

impl Task {
    async fn run(mut self, messages: Receiver<Message>) {
        while let Ok(message) = messages.recv_async().await {
            match message {
                Message::Request(reply) => self.answer(reply),
                Message::StoreAnswered(outcome) => self.settle(&outcome),
                Message::Tick => self.tick(),
            }
        }
    }

    fn answer(&mut self, reply: Sender<Option<LeaseId>>) {
        let lease = self.retention.lease(self.clock.now());
        if lease.is_none() && self.is_requesting {
            self.waiting.push(reply);
        } else {
            let _ = reply.send(lease);
        }
    }

    fn settle(&mut self, outcome: &Outcome) {
        self.is_requesting = false;
        self.retention.settle(outcome);
        for reply in std::mem::take(&mut self.waiting) {
            self.answer(reply);
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if self.is_requesting || now < self.retention.due() {
            return;
        }
        self.is_requesting = true;
        let op = self.retention.request_lease(now);
        let store = self.store.clone();
        let messages = self.messages.clone();
        let work = async move {
            let outcome = store.call(op).await;
            let _ = messages.send(Message::StoreAnswered(outcome));
        };
        compio::runtime::spawn(work).detach();
    }
}
