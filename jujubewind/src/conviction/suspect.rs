//! A request under suspicion, as entries tell one another of it.

use super::Fingerprint;
use super::Mark;

crate::data! {
    /// A request and the crashes that count, or counted, against it.
    pub struct Suspect {
        /// The request.
        pub print: Fingerprint,
        /// The crashes.
        pub marks: Vec<Mark>,
    }
}
