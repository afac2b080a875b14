//! The memory of one engine: who has been promised it, and who has it.

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

/// When to come back for memory that is in use.
const MEMORY_RETRY: Millis = Millis(100);

crate::label! {
    /// What a reservation stands for.
    pub enum ReservationState {
        /// Memory that the attempt gets in its turn.
        Promised = "promised",
        /// Memory set aside; the engine has nothing of the attempt yet.
        SetAside = "aside",
        /// Memory that the engine uses, or will use, for the attempt.
        InEngine = "engine",
    }
}

#[derive(Clone, Debug)]
struct Reservation {
    place: ReservationState,
    amount: Tokens,
    long: bool,
    until: MonoTime,
}

/// What the ledger and the engine do not agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Audit {
    /// Attempts that only the engine knows.
    pub orphans: Vec<AttemptId>,
    /// Attempts that the engine has lost; their reservations are gone.
    pub lost: Vec<AttemptId>,
}

/// Reservations of one engine's KV cache; each ends by itself when nobody renews it.
#[derive(Clone, Debug)]
pub struct Ledger {
    capacity: Tokens,
    guard: Tokens,
    limit: Tokens,
    entries: BTreeMap<AttemptId, Reservation>,
    promised: Tokens,
    used: Tokens,
    long: Tokens,
}

impl Ledger {
    /// A ledger of `capacity`, of which long work never takes the last `guard`; promises may
    /// reach `limit` beyond what is in use.
    #[must_use]
    pub fn new(capacity: Tokens, guard: Tokens, limit: Tokens) -> Self {
        Self {
            capacity,
            guard,
            limit,
            entries: BTreeMap::new(),
            promised: Tokens::ZERO,
            used: Tokens::ZERO,
            long: Tokens::ZERO,
        }
    }

    /// Promises memory until `until`.
    ///
    /// # Errors
    /// The engine could never hold it, or too much is promised.
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
        if self.promised.saturating_add(amount) > self.limit {
            return refuse(Reason::NoMemory, MEMORY_RETRY);
        }
        let reservation = Reservation {
            place: ReservationState::Promised,
            amount,
            long,
            until,
        };
        self.insert(attempt, reservation);
        Ok(())
    }

    /// Sets promised memory aside, or gives it to the engine; `false` if there is no room yet.
    pub fn allocate(&mut self, attempt: AttemptId, place: ReservationState) -> bool {
        let Some(found) = self.entries.get(&attempt) else {
            return false;
        };
        if found.place == ReservationState::Promised && found.amount > self.available(found.long) {
            return false;
        }
        self.change(attempt, place);
        true
    }

    /// Turns memory in use back into a promise, as the attempt was paused.
    pub fn deallocate(&mut self, attempt: AttemptId) {
        self.change(attempt, ReservationState::Promised);
    }

    /// Puts off the end of a reservation; `false` if there is none.
    pub fn renew(&mut self, attempt: AttemptId, until: MonoTime) -> bool {
        let found = self.entries.get_mut(&attempt);
        found.map(|one| one.until = one.until.max(until)).is_some()
    }

    /// Ends a reservation and tells its amount.
    pub fn release(&mut self, attempt: AttemptId) -> Tokens {
        let Some(gone) = self.entries.remove(&attempt) else {
            return Tokens::ZERO;
        };
        self.count(&gone, Tokens::saturating_sub);
        gone.amount
    }

    /// The attempts that nobody renewed. Those that the engine does not have are released; those
    /// that it has stay until it lets go of them, and are named again every `again`.
    pub fn expire(&mut self, now: MonoTime, again: Millis) -> Vec<AttemptId> {
        let due: Vec<AttemptId> = self
            .entries
            .iter()
            .filter(|(_, one)| one.until <= now)
            .map(|(&attempt, _)| attempt)
            .collect();
        for &attempt in &due {
            if self.place(attempt) == Some(ReservationState::InEngine) {
                self.renew(attempt, now.after(again));
            } else {
                self.release(attempt);
            }
        }
        due
    }

    /// Compares with what the engine lists; `settled` tells whether an attempt was handed over
    /// long enough ago to be in the listing.
    pub fn reconcile(
        &mut self,
        listing: &[ListedSequence],
        settled: impl Fn(AttemptId) -> bool,
    ) -> Audit {
        let listed: BTreeSet<AttemptId> = listing.iter().map(|one| one.attempt).collect();
        let lost: Vec<AttemptId> = self
            .entries
            .iter()
            .filter(|(_, one)| one.place == ReservationState::InEngine)
            .map(|(&attempt, _)| attempt)
            .filter(|attempt| !listed.contains(attempt) && settled(*attempt))
            .collect();
        for &attempt in &lost {
            self.release(attempt);
        }
        let known = |attempt: &AttemptId| self.place(*attempt) == Some(ReservationState::InEngine);
        let orphans = listed.into_iter().filter(|one| !known(one)).collect();
        Audit { orphans, lost }
    }

    /// What the reservation of `attempt` stands for.
    #[must_use]
    pub fn place(&self, attempt: AttemptId) -> Option<ReservationState> {
        self.entries.get(&attempt).map(|one| one.place)
    }

    /// Memory in use or set aside.
    #[must_use]
    pub fn used(&self) -> Tokens {
        self.used
    }

    /// Memory promised beyond that.
    #[must_use]
    pub fn promised(&self) -> Tokens {
        self.promised
    }

    /// The memory that long or short work could take now.
    #[must_use]
    pub fn available(&self, long: bool) -> Tokens {
        let free = self.capacity.saturating_sub(self.used);
        if long {
            free.min(self.ceiling(true).saturating_sub(self.long))
        } else {
            free
        }
    }

    /// The most that long or short work can ever take.
    #[must_use]
    pub fn ceiling(&self, long: bool) -> Tokens {
        if long {
            self.capacity.saturating_sub(self.guard)
        } else {
            self.capacity
        }
    }

    fn change(&mut self, attempt: AttemptId, place: ReservationState) {
        if let Some(mut found) = self.entries.remove(&attempt) {
            self.count(&found, Tokens::saturating_sub);
            found.place = place;
            self.insert(attempt, found);
        }
    }

    fn insert(&mut self, attempt: AttemptId, reservation: Reservation) {
        self.count(&reservation, Tokens::saturating_add);
        self.entries.insert(attempt, reservation);
    }

    fn count(&mut self, one: &Reservation, with: fn(Tokens, Tokens) -> Tokens) {
        if one.place == ReservationState::Promised {
            self.promised = with(self.promised, one.amount);
            return;
        }
        self.used = with(self.used, one.amount);
        if one.long {
            self.long = with(self.long, one.amount);
        }
    }
}

fn refuse(reason: Reason, retry: Millis) -> Result<()> {
    Err(Refusal { reason, retry })
}
