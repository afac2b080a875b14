//! The bodies that a process holds until they are whole.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use super::HeldBody;
use super::held_body::Content;
use crate::memory::Account;
use crate::memory::Purpose;
use crate::types::Bytes;
use crate::types::Millis;
use crate::types::MonoTime;

/// How long the body of a request may not grow before it makes room for another one.
const STALL_LIMIT: Millis = Millis(1_000);

/// The memory of all bodies that are held, and the requests whose body is not whole.
///
/// A body that finds no room takes that of requests whose bodies have stopped to arrive; if there are
/// none, it is refused.
#[derive(Debug)]
pub struct BodyBudget {
    account: Arc<Account>,
    unfinished: Mutex<Unfinished>,
}

/// The bodies of requests that are not whole, by number.
#[derive(Debug, Default)]
struct Unfinished {
    bodies: BTreeMap<u64, Arc<Mutex<Content>>>,
    next: u64,
}

impl BodyBudget {
    /// Creates a budget of `limit`.
    #[must_use]
    pub fn new(limit: Bytes) -> Arc<Self> {
        Self::within(Account::new(limit))
    }

    /// Creates a budget that shares an account with other holdings.
    #[must_use]
    pub fn within(account: Arc<Account>) -> Arc<Self> {
        Arc::new(Self {
            account,
            unfinished: Mutex::default(),
        })
    }

    /// The account of which the bodies are a part.
    #[must_use]
    pub const fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// The bytes that are held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.account.used()
    }

    /// Begins the empty body of a request, which ends if it stops to arrive while others need room.
    #[must_use]
    pub fn begin_request(self: &Arc<Self>, now: MonoTime) -> HeldBody {
        let content = Content::new(self.account.open(Purpose::Request), now);
        let content = Arc::new(Mutex::new(content));
        let mut unfinished = self.unfinished();
        let number = unfinished.next;
        unfinished.next += 1;
        unfinished.bodies.insert(number, content.clone());
        HeldBody::new(self.clone(), Some(number), content)
    }

    /// Begins the empty body of a response.
    #[must_use]
    pub fn begin_response(self: &Arc<Self>, now: MonoTime) -> HeldBody {
        let content = Content::new(self.account.open(Purpose::Response), now);
        HeldBody::new(self.clone(), None, Arc::new(Mutex::new(content)))
    }

    /// Ends the request, other than `own`, whose body has not grown for longest; returns whether one has
    /// stopped to arrive.
    pub(super) fn end_stalled(&self, now: MonoTime, own: Option<u64>) -> bool {
        let mut unfinished = self.unfinished();
        let bodies = unfinished.bodies.iter();
        let stalled = bodies.filter(|(number, _)| Some(**number) != own);
        let stalled = stalled.filter_map(|(number, content)| {
            let since = lock(content).grown()?;
            (now.since(since) >= STALL_LIMIT).then_some((since, *number))
        });
        let Some((_, number)) = stalled.min() else {
            return false;
        };
        if let Some(content) = unfinished.bodies.remove(&number) {
            lock(&content).end();
        }
        true
    }

    /// Forgets a body that is whole, or is no longer read.
    pub(super) fn forget(&self, number: u64) {
        self.unfinished().bodies.remove(&number);
    }

    fn unfinished(&self) -> MutexGuard<'_, Unfinished> {
        lock(&self.unfinished)
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
