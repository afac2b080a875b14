//! A crash attributed to a request, in the form that entries exchange.

use crate::types::Millis;

crate::data! {
    /// A crash attributed to a request, as sent between entries.
    pub struct Mark {
        /// The crash id, see [`super::Crash::id`].
        pub crash: u64,
        /// Whether the request ran alone.
        pub alone: bool,
        /// Whether the request completed afterwards, so that the crash no longer counts.
        pub cleared: bool,
        /// Whether the request was a trial of what had been convicted.
        pub trial: bool,
        /// The time since the crash was reported.
        pub age: Millis,
    }
}
