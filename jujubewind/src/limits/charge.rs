//! The amounts that a request is charged to its limits.

use crate::types::Credit;
use crate::types::EntryId;
use crate::types::OrgId;
use crate::types::Tokens;

crate::data! {
    /// The amounts that one request is charged.
    pub struct Charge {
        /// The catalogue entry.
        pub entry: EntryId,
        /// The organisation that owns the entry.
        pub org: OrgId,
        /// Length of the prompt plus the maximum length of the answer.
        pub tokens: Tokens,
        /// Predicted engine time.
        pub credit: Credit,
    }
}
