//! The task that keeps a lease of the store at hand for new claims.

use flume::Receiver;
use flume::Sender;

use crate::claims::Retention;
use crate::store::LeaseId;
use crate::store::Outcome;
use crate::store::Store;
use crate::timer::Clock;
use crate::timer::TimerService;
use crate::types::Millis;

/// How often the lease's age is looked at.
const TICK: Millis = Millis(200);

/// A message to the task.
enum Message {
    /// Somebody needs the lease.
    Ask(Sender<Option<LeaseId>>),
    /// The store answered.
    Settled(Outcome),
    /// Time has passed.
    Tick,
}

/// The task's state.
struct Task {
    retention: Retention,
    store: Store,
    clock: Clock,
    messages: Sender<Message>,
    /// Whether the store is being asked.
    asking: bool,
    /// Those who wait for the answer that is under way.
    waiting: Vec<Sender<Option<LeaseId>>>,
}

/// Starts the task; it answers each request with the lease, or `None` if the store gave none.
pub(super) fn start(store: Store, timer: &TimerService) -> Sender<Sender<Option<LeaseId>>> {
    let (asks, asked) = flume::unbounded();
    let (tx, rx) = flume::unbounded();
    let mut task = Task {
        retention: Retention::default(),
        store,
        clock: timer.clock(),
        messages: tx.clone(),
        asking: false,
        waiting: Vec::new(),
    };
    task.tick();
    compio::runtime::spawn(forward(asked, tx.clone(), Message::Ask)).detach();
    compio::runtime::spawn(forward(timer.subscribe(TICK), tx, |_| Message::Tick)).detach();
    compio::runtime::spawn(task.run(rx)).detach();
    asks
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
                Message::Ask(reply) => self.answer(reply),
                Message::Settled(outcome) => self.settle(&outcome),
                Message::Tick => self.tick(),
            }
        }
    }

    fn answer(&mut self, reply: Sender<Option<LeaseId>>) {
        let lease = self.retention.lease(self.clock.now());
        if lease.is_none() && self.asking {
            self.waiting.push(reply);
        } else {
            let _ = reply.send(lease);
        }
    }

    fn settle(&mut self, outcome: &Outcome) {
        self.asking = false;
        self.retention.settle(outcome);
        for reply in std::mem::take(&mut self.waiting) {
            self.answer(reply);
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if self.asking || now < self.retention.due() {
            return;
        }
        self.asking = true;
        let op = self.retention.request_lease(now);
        let store = self.store.clone();
        let messages = self.messages.clone();
        let work = async move {
            let outcome = store.call(op).await;
            let _ = messages.send(Message::Settled(outcome));
        };
        compio::runtime::spawn(work).detach();
    }
}
