//! What a response says about the requests that its backend server takes.

use crate::types::RequestRate;

crate::data! {
    /// The limit on the requests of all entries together that a response names.
    #[derive(Copy, Default)]
    pub enum NamedLimit {
        /// It names none.
        #[default]
        Absent,
        /// It names one that cannot be read, which neither sets nor ends a limit.
        Unreadable,
        /// The server takes this many requests a second.
        Rate(RequestRate),
    }
}
