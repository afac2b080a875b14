//! What a backend server says of itself in a response.

use crate::pace::NamedLimit;
use crate::types::Millis;

crate::data! {
    /// The state that a backend server announces in any of its responses.
    #[derive(Copy, Default)]
    pub struct Notice {
        /// Whether it shuts down soon and takes no new requests.
        pub leaving: bool,
        /// How long it asks this entry to send nothing.
        pub pause: Option<Millis>,
        /// How many requests it takes.
        pub limit: NamedLimit,
    }
}
