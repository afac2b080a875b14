//! Reservations of one engine's KV cache memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::ListedSequence;
use super::Result;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::types::AttemptId;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Tokens;

/// Retry delay when too much memory is promised.
const MEMORY_RETRY_DELAY: Millis = Millis(100);

crate::label! {
    /// The state of a memory reservation.
    pub enum ReservationState {
        /// Promised to a waiting attempt; not allocated yet.
        Promised = "promised",
        /// Allocated here; the engine does not hold the attempt yet.
        SetAside = "aside",
        /// Allocated to an attempt that was submitted to the engine.
        InEngine = "engine",
    }
}

#[derive(Clone, Debug)]
struct Reservation {
    state: ReservationState,
    amount: Tokens,
    long: bool,
    expires: MonoTime,
}

/// Differences between the ledger and the engine's list of sequences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Discrepancies {
    /// Attempts that the engine runs but the ledger does not have.
    pub orphans: Vec<AttemptId>,
    /// Attempts that the engine has lost; their reservations are released.
    pub lost: Vec<AttemptId>,
}

/// Reservations of one engine's KV cache; each expires unless it is renewed.
#[derive(Clone, Debug)]
pub struct Ledger {
    capacity: Tokens,
    short_memory: Tokens,
    promise_limit: Tokens,
    entries: BTreeMap<AttemptId, Reservation>,
    promised: Tokens,
    used: Tokens,
    long_used: Tokens,
}

impl Ledger {
    /// A ledger of `capacity` tokens; long work cannot use the last `short_memory` of them.
    /// Promises on top of the memory in use may reach `promise_limit`.
    #[must_use]
    pub fn new(capacity: Tokens, short_memory: Tokens, promise_limit: Tokens) -> Self {
        Self {
            capacity,
            short_memory,
            promise_limit,
            entries: BTreeMap::new(),
            promised: Tokens::ZERO,
            used: Tokens::ZERO,
            long_used: Tokens::ZERO,
        }
    }

    /// Promises memory until `until`.
    ///
    /// # Errors
    /// `amount` exceeds what the engine can ever hold, or too much memory is promised.
    pub fn promise(
        &mut self,
        attempt: AttemptId,
        amount: Tokens,
        long: bool,
        until: MonoTime,
    ) -> Result<()> {
        if amount > self.ceiling(long) {
            return refuse(Reason::PromptTooLong, Millis::ZERO);
        }
        if self.entries.contains_key(&attempt) {
            self.renew(attempt, until);
            return Ok(());
        }
        if self.promised.saturating_add(amount) > self.promise_limit {
            return refuse(Reason::NoMemory, MEMORY_RETRY_DELAY);
        }
        let reservation = Reservation {
            state: ReservationState::Promised,
            amount,
            long,
            expires: until,
        };
        self.insert(attempt, reservation);
        Ok(())
    }

    /// Allocates promised memory in the given state; `false` if too little memory is available.
    pub fn allocate(&mut self, attempt: AttemptId, state: ReservationState) -> bool {
        let Some(found) = self.entries.get(&attempt) else {
            return false;
        };
        if found.state == ReservationState::Promised && found.amount > self.available(found.long) {
            return false;
        }
        self.set_state(attempt, state);
        true
    }

    /// Turns allocated memory back into a promise after the attempt was paused.
    pub fn deallocate(&mut self, attempt: AttemptId) {
        self.set_state(attempt, ReservationState::Promised);
    }

    /// Extends a reservation to `until`; `false` if there is none.
    pub fn renew(&mut self, attempt: AttemptId, until: MonoTime) -> bool {
        let found = self.entries.get_mut(&attempt);
        found
            .map(|reservation| reservation.expires = reservation.expires.max(until))
            .is_some()
    }

    /// Removes a reservation and returns its amount.
    pub fn release(&mut self, attempt: AttemptId) -> Tokens {
        let Some(gone) = self.entries.remove(&attempt) else {
            return Tokens::ZERO;
        };
        self.adjust_totals(&gone, Tokens::saturating_sub);
        gone.amount
    }

    /// Returns the attempts whose reservations expired. Reservations of attempts in the engine are
    /// kept until the engine frees the memory, and are returned again every `retry`; all others are
    /// released.
    pub fn expire(&mut self, now: MonoTime, retry: Millis) -> Vec<AttemptId> {
        let due: Vec<AttemptId> = self
            .entries
            .iter()
            .filter(|(_, reservation)| reservation.expires <= now)
            .map(|(&attempt, _)| attempt)
            .collect();
        for &attempt in &due {
            if self.state(attempt) == Some(ReservationState::InEngine) {
                self.renew(attempt, now.after(retry));
            } else {
                self.release(attempt);
            }
        }
        due
    }

    /// Compares the ledger with the engine's list; `settled` tells whether an attempt was submitted
    /// long enough ago to appear in it.
    pub fn reconcile(
        &mut self,
        listing: &[ListedSequence],
        settled: impl Fn(AttemptId) -> bool,
    ) -> Discrepancies {
        let listed: BTreeSet<AttemptId> = listing.iter().map(|sequence| sequence.attempt).collect();
        let lost: Vec<AttemptId> = self
            .entries
            .iter()
            .filter(|(_, reservation)| reservation.state == ReservationState::InEngine)
            .map(|(&attempt, _)| attempt)
            .filter(|attempt| !listed.contains(attempt) && settled(*attempt))
            .collect();
        for &attempt in &lost {
            self.release(attempt);
        }
        // Parts of groups and paused work are listed as well.
        let orphans = listed
            .into_iter()
            .filter(|attempt| !self.entries.contains_key(attempt))
            .collect();
        Discrepancies { orphans, lost }
    }

    /// The state of the reservation of `attempt`, if there is one.
    #[must_use]
    pub fn state(&self, attempt: AttemptId) -> Option<ReservationState> {
        self.entries
            .get(&attempt)
            .map(|reservation| reservation.state)
    }

    /// Memory allocated here or in the engine.
    #[must_use]
    pub fn used(&self) -> Tokens {
        self.used
    }

    /// Memory promised but not allocated.
    #[must_use]
    pub fn promised(&self) -> Tokens {
        self.promised
    }

    /// The memory that long or short work can allocate now.
    #[must_use]
    pub fn available(&self, long: bool) -> Tokens {
        let free = self.capacity.saturating_sub(self.used);
        if long {
            free.min(self.ceiling(true).saturating_sub(self.long_used))
        } else {
            free
        }
    }

    /// The most memory that long or short work can ever allocate.
    #[must_use]
    pub fn ceiling(&self, long: bool) -> Tokens {
        if long {
            self.capacity.saturating_sub(self.short_memory)
        } else {
            self.capacity
        }
    }

    fn set_state(&mut self, attempt: AttemptId, state: ReservationState) {
        if let Some(mut found) = self.entries.remove(&attempt) {
            self.adjust_totals(&found, Tokens::saturating_sub);
            found.state = state;
            self.insert(attempt, found);
        }
    }

    fn insert(&mut self, attempt: AttemptId, reservation: Reservation) {
        self.adjust_totals(&reservation, Tokens::saturating_add);
        self.entries.insert(attempt, reservation);
    }

    fn adjust_totals(&mut self, reservation: &Reservation, apply: fn(Tokens, Tokens) -> Tokens) {
        if reservation.state == ReservationState::Promised {
            self.promised = apply(self.promised, reservation.amount);
            return;
        }
        self.used = apply(self.used, reservation.amount);
        if reservation.long {
            self.long_used = apply(self.long_used, reservation.amount);
        }
    }
}

fn refuse(reason: Reason, retry: Millis) -> Result<()> {
    Err(Refusal { reason, retry })
}
