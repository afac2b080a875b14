//! One crash that counts against a request.

use crate::types::Millis;

crate::data! {
    /// A crash, as entries tell one another of it.
    pub struct Mark {
        /// The crash.
        pub crash: u64,
        /// Whether the request ran alone.
        pub alone: bool,
        /// Whether the request completed afterwards, so that the crash no longer counts.
        pub cleared: bool,
        /// The time since the crash was reported.
        pub age: Millis,
    }
}
