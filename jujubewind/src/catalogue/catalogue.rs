//! The catalogue in force.

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
use super::check::Placed;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::Revision;

/// All parts of one revision, checked together; immutable, and shared as `Arc<Catalogue>`.
#[derive(Clone, Default)]
pub struct Catalogue {
    revision: Revision,
    parts: BTreeMap<OrgId, Arc<Part>>,
    owners: HashMap<KeyHash, OrgId>,
    targets: HashMap<OrgId, HashMap<ModelId, (Arc<Part>, usize)>>,
}

impl Catalogue {
    /// Reads the files of a directory, as revision zero.
    ///
    /// # Errors
    /// A file cannot be read, or the catalogue breaks its rules; all faults are told.
    pub fn read_dir(dir: &Path) -> Result<Self> {
        Self::from_sources(&Source::read_dir(dir)?)
    }

    /// Takes the texts of files, as revision zero.
    ///
    /// # Errors
    /// The catalogue breaks its rules; all faults are told.
    pub fn from_sources(sources: &[Source]) -> Result<Self> {
        let mut faults = Faults::default();
        let mut placed = Vec::new();
        for source in sources {
            match source.parse() {
                Ok(entries) => placed.extend(Placed::in_source(source, entries)),
                Err(fault) => faults.0.push(fault),
            }
        }
        check::check(&placed, &mut faults);
        if !faults.0.is_empty() {
            return Err(Error::Invalid(faults));
        }
        let mut owned: BTreeMap<OrgId, Vec<Entry>> = BTreeMap::new();
        for Placed { entry, .. } in placed {
            owned.entry(entry.owner.clone()).or_default().push(entry);
        }
        let parts = owned
            .into_iter()
            .map(|(owner, entries)| Arc::new(Part::new(owner, entries)));
        Ok(Self::index(Revision::ZERO, parts))
    }

    /// Takes the parts of a revision, as the store or a peer gave them.
    ///
    /// # Errors
    /// The parts together break the rules of a catalogue.
    pub fn from_parts(
        revision: Revision,
        parts: impl IntoIterator<Item = Arc<Part>>,
    ) -> Result<Self> {
        let parts: Vec<Arc<Part>> = parts.into_iter().collect();
        let placed: Vec<Placed> = parts
            .iter()
            .flat_map(|part| Placed::in_part(part))
            .collect();
        let mut faults = Faults::default();
        check::check_owners(&parts, &mut faults);
        check::check(&placed, &mut faults);
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

    /// The same catalogue under another revision.
    #[must_use]
    pub fn with_revision(self, revision: Revision) -> Self {
        Self { revision, ..self }
    }

    /// The revision; zero if it did not come through the store.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The organisation to which a caller's bearer key belongs.
    #[must_use]
    pub fn owner_of(&self, key: &str) -> Option<&OrgId> {
        self.owners.get(&KeyHash::of(key))
    }

    /// The entry under which `owner` uses the model or service `name`.
    #[must_use]
    pub fn entry_for(&self, owner: &OrgId, name: &ModelId) -> Option<&Entry> {
        let (part, index) = self.targets.get(owner)?.get(name)?;
        part.entries.get(*index)
    }

    /// The models and services that `owner` may use, in no order.
    pub fn names_of(&self, owner: &OrgId) -> impl Iterator<Item = &ModelId> {
        self.targets.get(owner).into_iter().flat_map(HashMap::keys)
    }

    /// All parts, ordered by organisation.
    pub fn parts(&self) -> impl Iterator<Item = &Arc<Part>> {
        self.parts.values()
    }

    /// All entries, ordered by organisation and name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.parts().flat_map(|part| &part.entries)
    }
}

/// Short, since a whole catalogue would flood any message.
impl Debug for Catalogue {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Catalogue")
            .field("revision", &self.revision)
            .field("parts", &self.parts.len())
            .finish_non_exhaustive()
    }
}
