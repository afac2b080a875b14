//! What an entry tells its peers of the limit that a backend server has named to it.

use crate::types::Millis;
use crate::types::RequestRate;

crate::data! {
    /// The limit of one incarnation of a backend server, as named to the sending entry.
    #[derive(Copy)]
    pub struct ToldLimit {
        /// The requests a second that it takes from all entries together; `None` if it no longer
        /// names a limit.
        pub rate: Option<RequestRate>,
        /// The time since the server said so.
        pub age: Millis,
    }
}
