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
