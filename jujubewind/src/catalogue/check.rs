//! The rules that all entries of a catalogue keep together.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use super::Entry;
use super::Fault;
use super::Faults;
use super::KeyHash;
use super::Limits;
use super::Part;
use super::Problem;
use super::Service;
use super::Source;
use super::Target;
use super::limits;
use super::locate;
use crate::types::EntryId;
use crate::types::ModelId;
use crate::types::OrgId;
use crate::types::is_name;

/// The longest stored text of a part: a store value, less room for its envelope.
pub const MAX_PART_BYTES: usize = 900_000;

/// An entry with the place it was read from.
pub(super) struct Placed<'a> {
    pub(super) entry: Entry,
    file: String,
    text: &'a str,
    nth: usize,
}

impl<'a> Placed<'a> {
    /// The entries of a file.
    pub(super) fn in_source(source: &'a Source, entries: Vec<Entry>) -> Vec<Self> {
        let mut seen: HashMap<EntryId, usize> = HashMap::new();
        let mut placed = Vec::new();
        for entry in entries {
            let count = seen.entry(entry.id.clone()).or_default();
            let nth = *count;
            *count += 1;
            placed.push(Self {
                entry,
                file: source.file.clone(),
                text: &source.text,
                nth,
            });
        }
        placed
    }

    /// The entries of a stored part, which has no lines.
    pub(super) fn in_part(part: &Part) -> Vec<Self> {
        let place = |entry: &Entry| Self {
            entry: entry.clone(),
            file: format!("part of {}", part.owner),
            text: "",
            nth: 0,
        };
        part.entries.iter().map(place).collect()
    }

    fn fault(&self, key: &str, problem: Problem) -> Fault {
        let id = self.entry.id.as_str();
        Fault {
            file: self.file.clone(),
            line: locate::line_of(self.text, id, self.nth, key),
            key: format!("{id}.{key}"),
            problem,
        }
    }
}

/// Notes parts whose entries belong to another organisation.
pub(super) fn check_owners(parts: &[Arc<Part>], faults: &mut Faults) {
    for part in parts {
        for entry in part
            .entries
            .iter()
            .filter(|entry| entry.owner != part.owner)
        {
            let problem = Problem::ForeignEntry(entry.owner.clone(), part.owner.clone());
            faults.0.push(Fault {
                file: format!("part of {}", part.owner),
                line: None,
                key: format!("{}.owner", entry.id),
                problem,
            });
        }
    }
}

/// Notes every fault of the entries, each alone and all together.
pub(super) fn check(placed: &[Placed], faults: &mut Faults) {
    let mut seen = Seen::default();
    for item in placed {
        let mut note = |key: &str, problem| faults.0.push(item.fault(key, problem));
        check_limits(&item.entry, &mut note);
        check_target(&item.entry.target, &mut note);
        seen.check_entry(&item.entry, &mut note);
    }
    check_sizes(placed, faults);
}

fn check_limits(entry: &Entry, note: &mut impl FnMut(&str, Problem)) {
    let own = &entry.limits;
    let mut range = |key: &str, value, low, high| {
        if !(low..=high).contains(&value) {
            let key = format!("limits.{key}");
            note(&key, Problem::OutOfRange { value, low, high });
        }
    };
    let rate = limits::MAX_REQUEST_RATE.get();
    range("request_rate", own.request_rate.get(), 1, rate);
    range("request_burst", own.request_burst.get(), 1, rate);
    range("concurrency", own.concurrency.get(), 1, rate);
    let longest = limits::MAX_TIMEOUT.get();
    range("longest_timeout", own.longest_timeout.get(), 1, longest);
    let longest = own.longest_timeout.get().clamp(1, longest);
    range("default_timeout", own.default_timeout.get(), 1, longest);
    match entry.target {
        Target::Models(_) => check_model_limits(own, &mut range),
        Target::Service(_) => check_service_limits(own, note),
    }
}

fn check_model_limits(own: &Limits, range: &mut impl FnMut(&str, u64, u64, u64)) {
    let rate = limits::MAX_TOKEN_RATE.get();
    range("token_rate", own.token_rate.get(), 1, rate);
    let seconds = limits::MAX_ENGINE_SECONDS.get();
    range("engine_seconds", own.engine_seconds.get(), 1, seconds);
    let prompt = limits::MAX_PROMPT.get();
    range("longest_prompt", own.longest_prompt.get(), 1, prompt);
    let output = limits::MAX_OUTPUT.get();
    range("longest_output", own.longest_output.get(), 1, output);
}

fn check_service_limits(own: &Limits, note: &mut impl FnMut(&str, Problem)) {
    let unused = [
        ("limits.token_rate", own.token_rate.get()),
        ("limits.engine_seconds", own.engine_seconds.get()),
        ("limits.longest_prompt", own.longest_prompt.get()),
        ("limits.longest_output", own.longest_output.get()),
    ];
    for (key, _) in unused.into_iter().filter(|(_, value)| *value > 0) {
        note(key, Problem::NotForService);
    }
}

fn check_target(target: &Target, note: &mut impl FnMut(&str, Problem)) {
    let (key, names): (_, Vec<&str>) = match target {
        Target::Models(models) => (
            "target.models",
            models.iter().map(ModelId::as_str).collect(),
        ),
        Target::Service(service) => {
            let names = service.methods.iter().map(|method| method.name.as_str());
            ("target.service.methods", names.collect())
        }
    };
    if names.is_empty() {
        note(key, Problem::EmptyList);
    }
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            note(key, Problem::Repeated(name.to_owned()));
        }
        if !is_name(name) {
            note(key, Problem::BadMethod(name.to_owned()));
        }
    }
}

fn check_sizes(placed: &[Placed], faults: &mut Faults) {
    let mut owned: HashMap<&OrgId, Vec<&Placed>> = HashMap::new();
    for item in placed {
        owned.entry(&item.entry.owner).or_default().push(item);
    }
    let mut owned: Vec<_> = owned.into_iter().collect();
    owned.sort_by_key(|(owner, _)| *owner);
    for (owner, items) in owned {
        if items.iter().all(|item| item.entry.keys.is_empty()) {
            faults
                .0
                .push(items[0].fault("keys", Problem::NoKey(owner.clone())));
        }
        let entries = items.iter().map(|item| item.entry.clone()).collect();
        let size = Part::new(owner.clone(), entries).encode().len();
        if size > MAX_PART_BYTES {
            let problem = Problem::TooLarge(owner.clone(), size, MAX_PART_BYTES);
            faults.0.push(items[0].fault("owner", problem));
        }
    }
}

/// What the entries looked at so far have claimed.
#[derive(Default)]
struct Seen {
    ids: BTreeSet<EntryId>,
    keys: HashMap<KeyHash, OrgId>,
    targets: HashMap<(OrgId, ModelId), EntryId>,
    services: HashMap<ModelId, bool>,
    methods: HashMap<(ModelId, String), bool>,
}

impl Seen {
    fn check_entry(&mut self, entry: &Entry, note: &mut impl FnMut(&str, Problem)) {
        if !self.ids.insert(entry.id.clone()) {
            note("id", Problem::DuplicateId(entry.id.clone()));
        }
        for key in &entry.keys {
            let owner = self.keys.entry(*key).or_insert(entry.owner.clone());
            if *owner != entry.owner {
                note("keys", Problem::SharedKey(*key, owner.clone()));
            }
        }
        for name in entry.target.names() {
            self.check_name(entry, name, note);
        }
        if let Target::Service(service) = &entry.target {
            self.check_methods(service, note);
        }
    }

    fn check_name(&mut self, entry: &Entry, name: &ModelId, note: &mut impl FnMut(&str, Problem)) {
        let is_service = entry.service().is_some();
        if *self.services.entry(name.clone()).or_insert(is_service) != is_service {
            note("target", Problem::MixedTarget(name.clone()));
        }
        let slot = (entry.owner.clone(), name.clone());
        let holder = self.targets.entry(slot).or_insert(entry.id.clone());
        if *holder != entry.id {
            note(
                "target",
                Problem::DuplicateTarget(name.clone(), holder.clone()),
            );
        }
    }

    fn check_methods(&mut self, service: &Service, note: &mut impl FnMut(&str, Problem)) {
        for method in &service.methods {
            let slot = (service.name.clone(), method.name.clone());
            let stated = self.methods.entry(slot).or_insert(method.idempotent);
            if *stated != method.idempotent {
                let name = format!("{}/{}", service.name, method.name);
                note("target.service.methods", Problem::MixedMethod(name));
            }
        }
    }
}
