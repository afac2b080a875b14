//! What one request takes from its limits.

use crate::types::Credit;
use crate::types::EntryId;
use crate::types::OrgId;
use crate::types::Tokens;

crate::data! {
    /// The amounts of one request.
    pub struct Charge {
        /// The catalogue entry.
        pub entry: EntryId,
        /// Its owner.
        pub org: OrgId,
        /// Prompt and longest answer.
        pub tokens: Tokens,
        /// Predicted engine time.
        pub credit: Credit,
    }
}
