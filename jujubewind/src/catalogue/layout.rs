//! The keys of the platform's store under which a catalogue stands.

use super::ContentHash;
use crate::store::Key;
use crate::types::Revision;

/// The prefix of all these keys.
const TOPIC: &str = "catalogue";

/// The key of the head, the only one that is ever changed.
#[must_use]
pub fn head_key() -> Key {
    Key::new(TOPIC, "head")
}

/// The key of a page or part.
#[must_use]
pub fn text_key(hash: ContentHash) -> Key {
    Key::new(TOPIC, &format!("texts/{hash}"))
}

/// The key of the head that `revision` had; keys sort as revisions do.
#[must_use]
pub fn history_key(revision: Revision) -> Key {
    Key::new(TOPIC, &format!("history/{:020}", revision.get()))
}
