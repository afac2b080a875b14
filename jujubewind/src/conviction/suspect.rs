//! A suspected request, in the form that entries exchange.

use super::Fingerprint;
use super::Mark;

crate::data! {
    /// A request with its counted and cleared crashes.
    pub struct Suspect {
        /// The fingerprint of the request.
        pub print: Fingerprint,
        /// The crashes.
        pub marks: Vec<Mark>,
    }
}
