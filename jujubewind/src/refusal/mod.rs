//! Refusals of work: the reason and the retry delay.

mod reason;

pub use reason::Reason;

use crate::types::Millis;

crate::data! {
    /// A refusal of work that was not run.
    pub struct Refusal {
        /// The reason.
        pub reason: Reason,
        /// Delay before a retry; zero if a retry cannot help.
        pub retry: Millis,
    }
}

impl Refusal {
    /// The delay after which there may be memory again: by then the requests that arrive have arrived or
    /// been given up.
    pub const ROOM_RETRY_AFTER: Millis = Millis(1_000);

    /// The refusal of work for which the process has no memory.
    #[must_use]
    pub const fn no_room() -> Self {
        Self {
            reason: Reason::Overloaded,
            retry: Self::ROOM_RETRY_AFTER,
        }
    }
}
