//! The task that owns the credit of all catalogue entries at this process.

use std::collections::BTreeMap;

use flume::Receiver;
use flume::Sender;

use super::Funds;
use super::account::Account;
use super::account::Reply;
use super::day::current_interval;
use crate::catalogue::Entry;
use crate::entry::control::Control;
use crate::entry::service::Claims;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::store::LeaseId;
use crate::store::Outcome;
use crate::timer::TimerService;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::Millis;
use crate::types::MonoTime;

/// How often accounts are polled.
const TICK_PERIOD: Millis = Millis(100);
/// How long a shutdown waits for credit to be returned.
const CLOSE_TIMEOUT: Millis = Millis(3_000);
/// Units of credit in a second of engine time.
const CREDIT_PER_SECOND: u64 = 1_000;

/// A message to the task.
enum Message {
    /// Takes credit for a request: entry, limit of the entry, amount.
    Spend(EntryId, Credit, Credit, Reply),
    /// Settles how much of its credit a request used.
    Settle(Funds, Credit),
    /// The store answered a call for this entry's account.
    StoreReply(EntryId, Outcome),
    /// The lease under which new records are written.
    Lease(Option<LeaseId>),
    /// Polls all accounts.
    Tick,
    /// Returns all credit, then answers.
    Close(Sender<()>),
}

/// A handle on the task that owns the credit; clones share the same task.
#[derive(Clone)]
pub struct Spending {
    messages: Sender<Message>,
}

/// The state of the task.
struct Task {
    accounts: BTreeMap<EntryId, Account>,
    claims: Claims,
    lease: Option<LeaseId>,
    timer: TimerService,
    control: Control,
    messages: Sender<Message>,
    closing: Option<Sender<()>>,
}

impl Spending {
    /// Starts the task, which uses the store of `claims`.
    pub fn start(claims: Claims, timer: &TimerService, control: Control) -> Self {
        let (tx, rx) = flume::unbounded();
        let task = Task {
            accounts: BTreeMap::new(),
            claims,
            lease: None,
            timer: timer.clone(),
            control,
            messages: tx.clone(),
            closing: None,
        };
        compio::runtime::spawn(tick(timer.subscribe(TICK_PERIOD), tx.clone())).detach();
        compio::runtime::spawn(task.run(rx)).detach();
        Self { messages: tx }
    }

    /// Takes `need` from the entry's credit.
    ///
    /// # Errors
    /// The entry has too little credit, none could be drawn in time, or the process is stopping.
    pub async fn spend(&self, entry: &Entry, need: Credit) -> Result<Funds, Refusal> {
        let (tx, rx) = flume::bounded(1);
        let limit = Credit(
            entry
                .limits
                .engine_seconds
                .get()
                .saturating_mul(CREDIT_PER_SECOND),
        );
        let message = Message::Spend(entry.id.clone(), limit, need, tx);
        let _ = self.messages.send(message);
        let stopping = Refusal {
            reason: Reason::Stopping,
            retry: TICK_PERIOD,
        };
        rx.recv_async().await.unwrap_or(Err(stopping))
    }

    /// Settles how much of its credit a request used.
    pub fn settle(&self, funds: Funds, used: Credit) {
        let _ = self.messages.send(Message::Settle(funds, used));
    }

    /// Returns all credit to the store, or gives up after a timeout.
    pub async fn close(&self) {
        let (tx, rx) = flume::bounded(1);
        if self.messages.send(Message::Close(tx)).is_ok() {
            let _ = compio::time::timeout(CLOSE_TIMEOUT.duration(), rx.recv_async()).await;
        }
    }
}

async fn tick(ticks: Receiver<MonoTime>, messages: Sender<Message>) {
    while ticks.recv_async().await.is_ok() {
        if messages.send(Message::Tick).is_err() {
            return;
        }
    }
}

impl Task {
    async fn run(mut self, messages: Receiver<Message>) {
        while let Ok(message) = messages.recv_async().await {
            self.handle(message);
            if self.accounts.values().all(Account::is_idle)
                && let Some(closing) = self.closing.take()
            {
                let _ = closing.send(());
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Spend(entry, limit, need, reply) => {
                let interval = current_interval(&entry, limit, now);
                let account = self.accounts.entry(entry.clone());
                let account = account.or_insert_with(|| Account::new(interval.clone()));
                account.spend(now, interval, need, reply);
                self.advance(&entry);
            }
            Message::Settle(funds, used) => {
                if let Some(account) = self.accounts.get_mut(&funds.entry) {
                    account.refund(&funds, used);
                }
                self.advance(&funds.entry);
            }
            Message::StoreReply(entry, outcome) => {
                if let Some(account) = self.accounts.get_mut(&entry) {
                    account.settle(now, outcome);
                }
                self.advance(&entry);
            }
            Message::Lease(lease) => self.lease = lease,
            Message::Tick => self.tick(),
            Message::Close(reply) => {
                self.closing = Some(reply);
                self.accounts.values_mut().for_each(Account::stop);
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        self.request_lease();
        let entries: Vec<_> = self.accounts.keys().cloned().collect();
        for entry in entries {
            self.advance(&entry);
        }
    }

    /// Serves waiting requests and makes the account's next call to the store.
    fn advance(&mut self, entry: &EntryId) {
        let now = self.now();
        let Some(account) = self.accounts.get_mut(entry) else {
            return;
        };
        account.serve_waiting(now);
        self.control.set_credit(entry.clone(), account.balance());
        let Some(lease) = self.lease else {
            return;
        };
        if let Some(op) = account.poll(now, lease, &mut rand::rng()) {
            let store = self.claims.store();
            let messages = self.messages.clone();
            let entry = entry.clone();
            let work = async move {
                let outcome = store.call(op).await;
                let _ = messages.send(Message::StoreReply(entry, outcome));
            };
            compio::runtime::spawn(work).detach();
        }
    }

    fn request_lease(&self) {
        let claims = self.claims.clone();
        let messages = self.messages.clone();
        let work = async move {
            let lease = claims.lease().await;
            let _ = messages.send(Message::Lease(lease));
        };
        compio::runtime::spawn(work).detach();
    }

    fn now(&self) -> MonoTime {
        self.timer.clock().now()
    }
}
