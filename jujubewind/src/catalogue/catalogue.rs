//! The validated, indexed catalogue.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Debug;
use std::fmt::Formatter;
use std::path::Path;
use std::sync::Arc;

use super::Entry;
use super::Error;
use super::Faults;
use super::KeyHash;
use super::Part;
use super::Result;
use super::Source;
use super::check;
use super::check::LocatedEntry;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::Revision;

/// An immutable catalogue revision with lookup indexes; shared as `Arc<Catalogue>`.
///
/// All parts of a revision are validated together.
#[derive(Clone, Default)]
pub struct Catalogue {
    revision: Revision,
    parts: BTreeMap<OrgId, Arc<Part>>,
    owners: HashMap<KeyHash, OrgId>,
    targets: HashMap<OrgId, HashMap<ModelId, (Arc<Part>, usize)>>,
}

impl Catalogue {
    /// Loads the catalogue files in a directory as revision zero.
    ///
    /// # Errors
    /// Fails if a file cannot be read or the catalogue is invalid. The error lists every fault.
    pub fn read_dir(dir: &Path) -> Result<Self> {
        Self::from_sources(&Source::read_dir(dir)?)
    }

    /// Builds the catalogue from file contents as revision zero.
    ///
    /// # Errors
    /// Fails if the catalogue is invalid. The error lists every fault.
    pub fn from_sources(sources: &[Source]) -> Result<Self> {
        let mut faults = Faults::default();
        let mut located = Vec::new();
        for source in sources {
            match source.parse() {
                Ok(entries) => located.extend(LocatedEntry::in_source(source, entries)),
                Err(fault) => faults.0.push(fault),
            }
        }
        check::check(&located, &mut faults);
        if !faults.0.is_empty() {
            return Err(Error::Invalid(faults));
        }
        let mut owned: BTreeMap<OrgId, Vec<Entry>> = BTreeMap::new();
        for LocatedEntry { entry, .. } in located {
            owned.entry(entry.owner.clone()).or_default().push(entry);
        }
        let parts = owned
            .into_iter()
            .map(|(owner, entries)| Arc::new(Part::new(owner, entries)));
        Ok(Self::index(Revision::ZERO, parts))
    }

    /// Builds the catalogue from the parts of a revision received from the store or a peer.
    ///
    /// # Errors
    /// Fails if the parts do not form a valid catalogue.
    pub fn from_parts(
        revision: Revision,
        parts: impl IntoIterator<Item = Arc<Part>>,
    ) -> Result<Self> {
        let parts: Vec<Arc<Part>> = parts.into_iter().collect();
        let located: Vec<LocatedEntry> = parts
            .iter()
            .flat_map(|part| LocatedEntry::in_part(part))
            .collect();
        let mut faults = Faults::default();
        check::check_owners(&parts, &mut faults);
        check::check(&located, &mut faults);
        if !faults.0.is_empty() {
            return Err(Error::Invalid(faults));
        }
        Ok(Self::index(revision, parts))
    }

    fn index(revision: Revision, parts: impl IntoIterator<Item = Arc<Part>>) -> Self {
        let mut catalogue = Self {
            revision,
            ..Self::default()
        };
        for part in parts {
            catalogue.add(part);
        }
        catalogue
    }

    fn add(&mut self, part: Arc<Part>) {
        let targets = self.targets.entry(part.owner.clone()).or_default();
        for (index, entry) in part.entries.iter().enumerate() {
            for key in &entry.keys {
                self.owners.insert(*key, entry.owner.clone());
            }
            for name in entry.target.names() {
                targets.insert(name.clone(), (Arc::clone(&part), index));
            }
        }
        self.parts.insert(part.owner.clone(), part);
    }

    /// Returns the catalogue with its revision number replaced.
    #[must_use]
    pub fn with_revision(self, revision: Revision) -> Self {
        Self { revision, ..self }
    }

    /// The revision; zero for a catalogue that was not loaded from the store.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The organisation that owns a caller's bearer key.
    #[must_use]
    pub fn owner_of(&self, key: &str) -> Option<&OrgId> {
        self.owners.get(&KeyHash::of(key))
    }

    /// The entry that gives `owner` access to the model or service `name`.
    #[must_use]
    pub fn entry_for(&self, owner: &OrgId, name: &ModelId) -> Option<&Entry> {
        let (part, index) = self.targets.get(owner)?.get(name)?;
        part.entries.get(*index)
    }

    /// The models and services that `owner` may use, in no particular order.
    pub fn names_of(&self, owner: &OrgId) -> impl Iterator<Item = &ModelId> {
        self.targets.get(owner).into_iter().flat_map(HashMap::keys)
    }

    /// All parts, ordered by organisation.
    pub fn parts(&self) -> impl Iterator<Item = &Arc<Part>> {
        self.parts.values()
    }

    /// All entries, ordered by organisation, then by entry name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.parts().flat_map(|part| &part.entries)
    }
}

/// Prints a summary only, as a whole catalogue is too long for a message.
impl Debug for Catalogue {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Catalogue")
            .field("revision", &self.revision)
            .field("parts", &self.parts.len())
            .finish_non_exhaustive()
    }
}
