//! Enforcement of limits at one process, with the usage of catalogue entries and owners.

use std::collections::BTreeMap;

use super::Charge;
use super::Rates;
use super::Result;
use super::bucket::Bucket;
use super::bucket::DEFAULT_TOLERANCE;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::Credit;
use crate::types::EntryId;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::OrgId;
use crate::types::Tokens;

/// Retry delay of an owner at its concurrency limit.
const CONCURRENCY_DELAY: Millis = Millis(500);

/// Retry delay of an entry without credit; credit is drawn in the background.
const NO_CREDIT_DELAY: Millis = Millis(1_000);

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
    /// Creates a limiter without any usage.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds engine time that was drawn for `entry`.
    pub fn add_credit(&mut self, entry: &EntryId, credit: Credit) {
        let account = self.accounts.entry(entry.clone()).or_default();
        account.credit = account.credit.saturating_add(credit);
    }

    /// The engine time left to `entry` at this process.
    #[must_use]
    pub fn credit(&self, entry: &EntryId) -> Credit {
        self.accounts
            .get(entry)
            .map_or(Credit::ZERO, |account| account.credit)
    }

    /// Charges the request to all limits, or to none.
    ///
    /// # Errors
    /// The first limit that is exceeded, with the retry delay.
    pub fn admit(&mut self, now: MonoTime, charge: &Charge, rates: &Rates) -> Result<()> {
        let account = self.accounts.entry(charge.entry.clone()).or_default();
        let running = self.running.entry(charge.org.clone()).or_default();
        if rates.concurrency.is_some_and(|limit| *running >= limit) {
            return refuse(Reason::Concurrency, CONCURRENCY_DELAY);
        }
        account.check(now, charge, rates)?;
        account.take(now, charge, rates);
        *running += 1;
        Ok(())
    }

    /// Ends an admitted request, which used `tokens` and `credit`, and refunds the rest.
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
            let refunded = account.credit.saturating_add(charge.credit);
            account.credit = refunded.saturating_sub(credit);
        }
    }

    /// Removes the usage of entries for which `has` returns false.
    pub fn retain(&mut self, has: impl Fn(&EntryId) -> bool) {
        self.accounts.retain(|entry, _| has(entry));
    }

    /// The number of running requests of `org`.
    #[must_use]
    pub fn running(&self, org: &OrgId) -> u64 {
        self.running.get(org).copied().unwrap_or(0)
    }
}

impl Account {
    fn check(&self, now: MonoTime, charge: &Charge, rates: &Rates) -> Result<()> {
        let delay = self.requests.wait(now, rates.tolerance());
        if rates.requests.is_some() && delay > Millis::ZERO {
            return refuse(Reason::RequestRate, delay);
        }
        let delay = self.tokens.wait(now, DEFAULT_TOLERANCE);
        if rates.tokens.is_some() && delay > Millis::ZERO {
            return refuse(Reason::TokenRate, delay);
        }
        if rates.metered && self.credit < charge.credit {
            return refuse(Reason::NoCredit, NO_CREDIT_DELAY);
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
