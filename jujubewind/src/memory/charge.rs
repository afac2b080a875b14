//! A part of an account that is in use.

use std::sync::Arc;

use super::Account;
use super::Purpose;

/// Bytes that are counted in an account until this is dropped.
#[derive(Debug)]
pub struct Charge {
    account: Arc<Account>,
    purpose: Purpose,
    bytes: usize,
}

impl Charge {
    pub(super) const fn new(account: Arc<Account>, purpose: Purpose) -> Self {
        Self {
            account,
            purpose,
            bytes: 0,
        }
    }

    /// The bytes that are counted.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts `bytes` from now on; returns whether there was room, otherwise nothing has changed. There
    /// is always room for fewer.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        if let Some(grown) = bytes.checked_sub(self.bytes) {
            if !self.account.take(self.purpose, grown, bytes) {
                return false;
            }
        } else {
            self.account.give_back(self.bytes - bytes);
        }
        self.bytes = bytes;
        true
    }

    /// Whether there would be room for `bytes` if nothing else were held.
    #[must_use]
    pub fn may_hold(&self, bytes: usize) -> bool {
        bytes <= self.account.ceiling(self.purpose, bytes)
    }

    /// Moves what is counted to a charge of its own.
    #[must_use]
    pub fn take(&mut self) -> Self {
        Self {
            account: self.account.clone(),
            purpose: self.purpose,
            bytes: std::mem::take(&mut self.bytes),
        }
    }

    /// Counts nothing from now on.
    pub fn clear(&mut self) {
        self.account.give_back(self.bytes);
        self.bytes = 0;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.clear();
    }
}
