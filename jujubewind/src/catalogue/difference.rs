//! Difference of one entry between two catalogues.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

use serde_json::Value;

use super::Entry;
use crate::types::EntryId;
use crate::types::OrgId;

crate::label! {
    /// How an entry changed.
    pub enum DifferenceKind {
        /// Only the new catalogue has the entry.
        Added = "added",
        /// Only the old catalogue has the entry.
        Removed = "removed",
        /// Some values of the entry differ.
        Changed = "changed",
    }
}

crate::data! {
    /// One entry that differs.
    pub struct Difference {
        /// The entry.
        pub entry: EntryId,
        /// The owner; the new one if it changed.
        pub owner: OrgId,
        /// How it changed.
        pub kind: DifferenceKind,
        /// The keys that changed; empty for an added or removed entry.
        pub keys: Vec<KeyDifference>,
    }

    /// A key whose value differs; `None` where the key is absent.
    pub struct KeyDifference {
        /// The key, such as `limits.concurrency`.
        pub key: String,
        /// The value before.
        pub before: Option<Value>,
        /// The value after.
        pub after: Option<Value>,
    }
}

impl Difference {
    /// Describes an entry that only one of the catalogues has.
    pub(super) fn whole(entry: &Entry, kind: DifferenceKind) -> Self {
        Self {
            entry: entry.id.clone(),
            owner: entry.owner.clone(),
            kind,
            keys: Vec::new(),
        }
    }

    /// Compares an entry that both catalogues have; `None` if it is unchanged.
    pub(super) fn between(before: &Entry, after: &Entry) -> Option<Self> {
        if before == after {
            return None;
        }
        let (old, new) = (flatten(before), flatten(after));
        let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
        names.sort();
        names.dedup();
        let keys = names
            .into_iter()
            .filter(|key| old.get(*key) != new.get(*key));
        Some(Self {
            entry: after.id.clone(),
            owner: after.owner.clone(),
            kind: DifferenceKind::Changed,
            keys: keys
                .map(|key| KeyDifference {
                    key: key.clone(),
                    before: old.get(key).cloned(),
                    after: new.get(key).cloned(),
                })
                .collect(),
        })
    }
}

impl Display for Difference {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let mark = match self.kind {
            DifferenceKind::Added => '+',
            DifferenceKind::Removed => '-',
            DifferenceKind::Changed => '~',
        };
        write!(f, "{mark} {} of {}", self.entry, self.owner)?;
        for key in &self.keys {
            write!(f, "\n    {key}")?;
        }
        Ok(())
    }
}

impl Display for KeyDifference {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let show = |value: &Option<Value>| {
            let value = value.as_ref();
            value.map_or_else(|| "absent".to_owned(), Value::to_string)
        };
        write!(
            f,
            "{}: {} -> {}",
            self.key,
            show(&self.before),
            show(&self.after)
        )
    }
}

/// Maps dotted keys to the entry's values; a list is a single value.
fn flatten(entry: &Entry) -> BTreeMap<String, Value> {
    let mut found = BTreeMap::new();
    let value = serde_json::to_value(entry).unwrap_or_default();
    collect(String::new(), value, &mut found);
    found
}

fn collect(key: String, value: Value, found: &mut BTreeMap<String, Value>) {
    let Value::Object(fields) = value else {
        found.insert(key, value);
        return;
    };
    for (name, inner) in fields {
        let path = if key.is_empty() {
            name
        } else {
            format!("{key}.{name}")
        };
        collect(path, inner, found);
    }
}
