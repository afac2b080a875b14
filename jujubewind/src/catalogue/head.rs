//! The head record, which names the current catalogue revision.

use std::collections::BTreeMap;

use super::ContentHash;
use crate::types::ChangeId;
use crate::types::Revision;

crate::quantity! {
    /// Unix time in seconds from the clock of the operator's VM; displayed but never compared.
    pub struct UnixTime(u64), "s";
}

crate::data! {
    /// The current revision of the catalogue; replaced by compare-and-swap only.
    #[serde(deny_unknown_fields)]
    pub struct Head {
        /// The revision number: one more than that of the replaced head.
        pub revision: Revision,
        /// The change that created it; identifies a change whose response was lost.
        pub change: ChangeId,
        /// The author of the change.
        pub author: String,
        /// The time of the change.
        pub time: UnixTime,
        /// Content address of each page by page number.
        pub pages: BTreeMap<u8, ContentHash>,
    }
}

impl Head {
    /// Encodes the head for storage.
    ///
    /// # Panics
    /// Never: every value of a head can be represented in JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a head has a JSON form")
    }

    /// Decodes a stored head; `None` if the text is invalid.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
