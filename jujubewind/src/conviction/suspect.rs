//! A suspected request, in the form that entries exchange.

use super::Fingerprint;
use super::Mark;
use crate::types::Millis;

crate::data! {
    /// A request, or a part of a prompt, with its counted and cleared crashes.
    pub struct Suspect {
        /// The fingerprint of the request.
        pub print: Fingerprint,
        /// The crashes.
        pub marks: Vec<Mark>,
        /// Whether an answer to it has gone on before.
        pub sound: bool,
        /// How much longer a trial excludes others; zero if none is running.
        pub held: Millis,
    }
}
