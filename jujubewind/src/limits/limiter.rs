//! One process's account of what catalogue entries and owners have used.

use std::collections::BTreeMap;

use super::Charge;
use super::Rates;
use super::Result;
use super::bucket::Bucket;
use super::bucket::WINDOW;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::OrgId;
use crate::types::Tokens;

/// When an owner at its concurrency limit may look again.
const CONCURRENCY_RETRY: Millis = Millis(500);

/// When an entry without credit may look again; credit is drawn in the background.
const CREDIT_RETRY: Millis = Millis(1_000);

#[derive(Debug, Default)]
struct Account {
    requests: Bucket,
    tokens: Bucket,
    credit: Credit,
}

/// Enforces the limits of catalogue entries and owners at one process.
#[derive(Debug, Default)]
pub struct Limiter {
    accounts: BTreeMap<EntryId, Account>,
    running: BTreeMap<OrgId, u64>,
}

impl Limiter {
    /// A limiter that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds engine time that was drawn for `entry`.
    pub fn fund(&mut self, entry: &EntryId, credit: Credit) {
        let account = self.accounts.entry(entry.clone()).or_default();
        account.credit = account.credit.saturating_add(credit);
    }

    /// The engine time left to `entry` here.
    #[must_use]
    pub fn credit(&self, entry: &EntryId) -> Credit {
        self.accounts
            .get(entry)
            .map_or(Credit::ZERO, |account| account.credit)
    }

    /// Takes the request's amounts from every limit, or from none.
    ///
    /// # Errors
    /// The first limit that is used up, with the time after which it is not.
    pub fn admit(&mut self, now: MonoTime, charge: &Charge, rates: &Rates) -> Result<()> {
        let account = self.accounts.entry(charge.entry.clone()).or_default();
        let running = self.running.entry(charge.org.clone()).or_default();
        if rates.concurrency.is_some_and(|most| *running >= most) {
            return refuse(Reason::Concurrency, CONCURRENCY_RETRY);
        }
        account.check(now, charge, rates)?;
        account.take(now, charge, rates);
        *running += 1;
        Ok(())
    }

    /// Ends an admitted request, which used `tokens` and `credit`, and gives back the rest.
    pub fn finish(&mut self, charge: &Charge, rates: &Rates, tokens: Tokens, credit: Credit) {
        if let Some(running) = self.running.get_mut(&charge.org) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running.remove(&charge.org);
            }
        }
        let account = self.accounts.entry(charge.entry.clone()).or_default();
        if let Some(rate) = rates.tokens {
            let unused = charge.tokens.saturating_sub(tokens);
            account.tokens.refund(unused.get(), rate);
        }
        if rates.metered {
            let whole = account.credit.saturating_add(charge.credit);
            account.credit = whole.saturating_sub(credit);
        }
    }

    /// Forgets entries that the catalogue no longer has.
    pub fn retain(&mut self, has: impl Fn(&EntryId) -> bool) {
        self.accounts.retain(|entry, _| has(entry));
    }

    /// Requests of `org` that run now.
    #[must_use]
    pub fn running(&self, org: &OrgId) -> u64 {
        self.running.get(org).copied().unwrap_or(0)
    }
}

impl Account {
    fn check(&self, now: MonoTime, charge: &Charge, rates: &Rates) -> Result<()> {
        let requests = self.requests.wait(now, rates.ahead());
        if rates.requests.is_some() && requests > Millis::ZERO {
            return refuse(Reason::RequestRate, requests);
        }
        let tokens = self.tokens.wait(now, WINDOW);
        if rates.tokens.is_some() && tokens > Millis::ZERO {
            return refuse(Reason::TokenRate, tokens);
        }
        if rates.metered && self.credit < charge.credit {
            return refuse(Reason::NoCredit, CREDIT_RETRY);
        }
        Ok(())
    }

    fn take(&mut self, now: MonoTime, charge: &Charge, rates: &Rates) {
        if let Some(rate) = rates.requests {
            self.requests.take(now, 1, rate);
        }
        if let Some(rate) = rates.tokens {
            self.tokens.take(now, charge.tokens.get(), rate);
        }
        if rates.metered {
            self.credit = self.credit.saturating_sub(charge.credit);
        }
    }
}

fn refuse(reason: Reason, retry: Millis) -> Result<()> {
    Err(Refusal { reason, retry })
}
