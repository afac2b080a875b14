//! The version of an entry's messages.

use crate::types::Incarnation;

/// Orders an entry's messages; those of a later incarnation are greater than all earlier ones.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Stamp {
    /// The incarnation of the entry's process.
    pub life: Incarnation,
    /// The message's sequence number.
    pub number: u64,
}
