//! Kinds of validation faults; each message names a remedy.

use super::KeyHash;
use crate::types::EntryId;
use crate::types::ModelId;
use crate::types::OrgId;

/// The kind of a validation fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The file is not YAML of the expected form.
    #[error("{0}; see docs/CATALOGUE.md for the keys and their values")]
    Syntax(String),
    /// Two entries have the same name.
    #[error("an earlier entry is named `{0}` too; give each entry a name of its own")]
    DuplicateId(EntryId),
    /// Two organisations share an API key, so a caller's organisation would be ambiguous.
    #[error("key {0} belongs to `{1}` too; issue each organisation a key of its own")]
    SharedKey(KeyHash, OrgId),
    /// Two entries of an owner name the same target, so its limits would be ambiguous.
    #[error("entry `{1}` of the same owner names `{0}` too; keep it in one of them")]
    DuplicateTarget(ModelId, EntryId),
    /// A name is used for both a model and a service.
    #[error("`{0}` is a model in one entry and a service in another; rename one of them")]
    MixedTarget(ModelId),
    /// Two entries disagree on whether a method is idempotent.
    #[error("`{0}` is idempotent in one entry and not in another; use one value in all entries")]
    MixedMethod(String),
    /// A list contains an item twice.
    #[error("`{0}` is listed twice; remove one")]
    Repeated(String),
    /// The name has characters that are not allowed in a path.
    #[error("`{0}` is not a valid method name; use letters, digits or -_.:/")]
    BadMethod(String),
    /// A list is empty.
    #[error("the list is empty; name at least one")]
    EmptyList,
    /// A limit is out of range.
    #[error("{value} is out of range; write a number from {low} to {high}")]
    OutOfRange {
        /// The configured value.
        value: u64,
        /// The minimum.
        low: u64,
        /// The maximum.
        high: u64,
    },
    /// An entry for a plain service has a limit on tokens or engine time.
    #[error("it does not apply to a plain service; remove it")]
    NotForService,
    /// The organisation has no API key.
    #[error("`{0}` has no key, so nobody could use its entries; list the digest of one")]
    NoKey(OrgId),
    /// The organisation's entries exceed the maximum size of a store value.
    #[error("the entries of `{0}` take {1} bytes; shorten or remove some, to {2} at most")]
    TooLarge(OrgId, usize, usize),
    /// A part contains an entry of another organisation.
    #[error("entry of `{0}` in the part of `{1}`; apply the catalogue again")]
    ForeignEntry(OrgId, OrgId),
}
