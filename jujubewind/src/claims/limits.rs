//! How long a claimant waits for what.

use crate::types::Millis;

/// Times of a claimant. Safety rests on none of them: they only say when to give up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a claim of which nothing was sent must stand still before it is taken over.
    pub grace: Millis,
    /// How long an unanswering store is asked before the call is refused.
    pub patience: Millis,
    /// How long a result or a release is offered to an unanswering store.
    pub persist: Millis,
    /// The first pause after a failed call to the store; it doubles up to [`Limits::MAX_PAUSE`].
    pub pause: Millis,
    /// When a caller should ask again about a key that is under way.
    pub busy: Millis,
    /// When a caller should come back after the store failed.
    pub down: Millis,
}

impl Limits {
    /// The longest pause between two tries at the store.
    pub const MAX_PAUSE: Millis = Millis(5_000);
    /// The longest body that is kept for repeats, in bytes.
    pub const MAX_BODY: usize = 64 * 1024;
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            grace: Millis(500),
            patience: Millis(1_000),
            persist: Millis(600_000),
            pause: Millis(50),
            busy: Millis(250),
            down: Millis(2_000),
        }
    }
}
