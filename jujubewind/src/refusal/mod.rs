//! Why work is refused, and when to come back.

mod reason;

pub use reason::Reason;

use crate::types::Millis;

crate::data! {
    /// A refusal: the work it concerns was not run.
    pub struct Refusal {
        /// Why.
        pub reason: Reason,
        /// When trying again makes sense.
        pub retry: Millis,
    }
}
