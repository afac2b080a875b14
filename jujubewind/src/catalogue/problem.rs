//! What can be wrong with a catalogue, each with its remedy.

use super::KeyHash;
use crate::types::EntryId;
use crate::types::ModelId;
use crate::types::OrgId;

/// The kind of a fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The file is not YAML of the expected form.
    #[error("{0}; see docs/CATALOGUE.md for the keys and their values")]
    Syntax(String),
    /// Two entries have the same name.
    #[error("an earlier entry is named `{0}` too; give each entry a name of its own")]
    DuplicateId(EntryId),
    /// A key would let two organisations be mistaken for each other.
    #[error("key {0} belongs to `{1}` too; issue each organisation a key of its own")]
    SharedKey(KeyHash, OrgId),
    /// Requests for the model could fall under either entry.
    #[error("entry `{1}` of the same owner names `{0}` too; keep it in one of them")]
    DuplicateTarget(ModelId, EntryId),
    /// One name stands for a model here and for a service there.
    #[error("`{0}` is a model in one entry and a service in another; rename one of them")]
    MixedTarget(ModelId),
    /// Two entries differ on whether calls may be repeated.
    #[error("`{0}` is idempotent in one entry and not in another; state it alike everywhere")]
    MixedMethod(String),
    /// The same item stands twice in a list.
    #[error("`{0}` is listed twice; remove one")]
    Repeated(String),
    /// The name has characters that a path must not have.
    #[error("`{0}` is no method; write letters, digits or -_.:/")]
    BadMethod(String),
    /// A list is empty.
    #[error("the list is empty; name at least one")]
    EmptyList,
    /// A limit lies outside its range.
    #[error("{value} is out of range; write a number from {low} to {high}")]
    OutOfRange {
        /// The number as written.
        value: u64,
        /// The lowest allowed.
        low: u64,
        /// The highest allowed.
        high: u64,
    },
    /// A limit on tokens or engine time stands in an entry for a plain service.
    #[error("it does not apply to a plain service; remove it")]
    NotForService,
    /// The organisation has no key at all.
    #[error("`{0}` has no key, so nobody could use its entries; list the digest of one")]
    NoKey(OrgId),
    /// The organisation's entries exceed what the platform's service holds in one value.
    #[error("the entries of `{0}` take {1} bytes; shorten or remove some, to {2} at most")]
    TooLarge(OrgId, usize, usize),
    /// A part names another owner inside than outside.
    #[error("entry of `{0}` in the part of `{1}`; apply the catalogue again")]
    ForeignEntry(OrgId, OrgId),
}
