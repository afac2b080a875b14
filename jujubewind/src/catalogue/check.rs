//! Validation of catalogue entries, individually and against each other.

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

/// Maximum encoded size of a part: the store's value size limit minus space for the envelope.
pub const MAX_PART_BYTES: usize = 900_000;

/// An entry and the location that it was read from.
pub(super) struct LocatedEntry<'a> {
    pub(super) entry: Entry,
    file: String,
    text: &'a str,
    /// How many entries of the same name precede it in the file.
    occurrence: usize,
}

impl<'a> LocatedEntry<'a> {
    /// Locates the entries of a file.
    pub(super) fn in_source(source: &'a Source, entries: Vec<Entry>) -> Vec<Self> {
        let mut seen: HashMap<EntryId, usize> = HashMap::new();
        let mut located = Vec::new();
        for entry in entries {
            let count = seen.entry(entry.id.clone()).or_default();
            let occurrence = *count;
            *count += 1;
            located.push(Self {
                entry,
                file: source.file.clone(),
                text: &source.text,
                occurrence,
            });
        }
        located
    }

    /// Locates the entries of a stored part, which has no line numbers.
    pub(super) fn in_part(part: &Part) -> Vec<Self> {
        let locate = |entry: &Entry| Self {
            entry: entry.clone(),
            file: format!("part of {}", part.owner),
            text: "",
            occurrence: 0,
        };
        part.entries.iter().map(locate).collect()
    }

    fn fault(&self, key: &str, problem: Problem) -> Fault {
        let id = self.entry.id.as_str();
        Fault {
            file: self.file.clone(),
            line: locate::line_of(self.text, id, self.occurrence, key),
            key: format!("{id}.{key}"),
            problem,
        }
    }
}

/// Reports entries whose owner differs from the owner of their part.
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

/// Reports every fault of single entries and every conflict between entries.
pub(super) fn check(located: &[LocatedEntry], faults: &mut Faults) {
    let mut seen = Seen::default();
    for item in located {
        let mut report = |key: &str, problem| faults.0.push(item.fault(key, problem));
        check_limits(&item.entry, &mut report);
        check_target(&item.entry.target, &mut report);
        seen.check_entry(&item.entry, &mut report);
    }
    check_organisations(located, faults);
}

fn check_limits(entry: &Entry, report: &mut impl FnMut(&str, Problem)) {
    let entry_limits = &entry.limits;
    let mut check_range = |key: &str, value, low, high| {
        if !(low..=high).contains(&value) {
            let key = format!("limits.{key}");
            report(&key, Problem::OutOfRange { value, low, high });
        }
    };
    let rate = limits::MAX_REQUEST_RATE.get();
    check_range("request_rate", entry_limits.request_rate.get(), 1, rate);
    check_range("request_burst", entry_limits.request_burst.get(), 1, rate);
    check_range("concurrency", entry_limits.concurrency.get(), 1, rate);
    let longest = limits::MAX_TIMEOUT.get();
    check_range(
        "longest_timeout",
        entry_limits.longest_timeout.get(),
        1,
        longest,
    );
    let longest = entry_limits.longest_timeout.get().clamp(1, longest);
    check_range(
        "default_timeout",
        entry_limits.default_timeout.get(),
        1,
        longest,
    );
    match entry.target {
        Target::Models(_) => check_model_limits(entry_limits, &mut check_range),
        Target::Service(_) => check_service_limits(entry_limits, report),
    }
}

fn check_model_limits(entry_limits: &Limits, check_range: &mut impl FnMut(&str, u64, u64, u64)) {
    let rate = limits::MAX_TOKEN_RATE.get();
    check_range("token_rate", entry_limits.token_rate.get(), 1, rate);
    let seconds = limits::MAX_ENGINE_SECONDS.get();
    check_range(
        "engine_seconds",
        entry_limits.engine_seconds.get(),
        1,
        seconds,
    );
    let prompt = limits::MAX_PROMPT.get();
    check_range(
        "longest_prompt",
        entry_limits.longest_prompt.get(),
        1,
        prompt,
    );
    let output = limits::MAX_OUTPUT.get();
    check_range(
        "longest_output",
        entry_limits.longest_output.get(),
        1,
        output,
    );
}

fn check_service_limits(entry_limits: &Limits, report: &mut impl FnMut(&str, Problem)) {
    let unused = [
        ("limits.token_rate", entry_limits.token_rate.get()),
        ("limits.engine_seconds", entry_limits.engine_seconds.get()),
        ("limits.longest_prompt", entry_limits.longest_prompt.get()),
        ("limits.longest_output", entry_limits.longest_output.get()),
    ];
    for (key, _) in unused.into_iter().filter(|(_, value)| *value > 0) {
        report(key, Problem::NotForService);
    }
}

fn check_target(target: &Target, report: &mut impl FnMut(&str, Problem)) {
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
        report(key, Problem::EmptyList);
    }
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            report(key, Problem::Repeated(name.to_owned()));
        }
        if !is_name(name) {
            report(key, Problem::BadMethod(name.to_owned()));
        }
    }
}

fn check_organisations(located: &[LocatedEntry], faults: &mut Faults) {
    let mut owned: HashMap<&OrgId, Vec<&LocatedEntry>> = HashMap::new();
    for item in located {
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

/// Names, keys and targets used by the entries checked so far.
#[derive(Default)]
struct Seen {
    ids: BTreeSet<EntryId>,
    keys: HashMap<KeyHash, OrgId>,
    targets: HashMap<(OrgId, ModelId), EntryId>,
    services: HashMap<ModelId, bool>,
    methods: HashMap<(ModelId, String), bool>,
}

impl Seen {
    fn check_entry(&mut self, entry: &Entry, report: &mut impl FnMut(&str, Problem)) {
        if !self.ids.insert(entry.id.clone()) {
            report("id", Problem::DuplicateId(entry.id.clone()));
        }
        for key in &entry.keys {
            let owner = self.keys.entry(*key).or_insert(entry.owner.clone());
            if *owner != entry.owner {
                report("keys", Problem::SharedKey(*key, owner.clone()));
            }
        }
        for name in entry.target.names() {
            self.check_name(entry, name, report);
        }
        if let Target::Service(service) = &entry.target {
            self.check_methods(service, report);
        }
    }

    fn check_name(
        &mut self,
        entry: &Entry,
        name: &ModelId,
        report: &mut impl FnMut(&str, Problem),
    ) {
        let is_service = entry.service().is_some();
        if *self.services.entry(name.clone()).or_insert(is_service) != is_service {
            report("target", Problem::MixedTarget(name.clone()));
        }
        let key = (entry.owner.clone(), name.clone());
        let first_entry = self.targets.entry(key).or_insert(entry.id.clone());
        if *first_entry != entry.id {
            report(
                "target",
                Problem::DuplicateTarget(name.clone(), first_entry.clone()),
            );
        }
    }

    fn check_methods(&mut self, service: &Service, report: &mut impl FnMut(&str, Problem)) {
        for method in &service.methods {
            let key = (service.name.clone(), method.name.clone());
            let declared = self.methods.entry(key).or_insert(method.idempotent);
            if *declared != method.idempotent {
                let name = format!("{}/{}", service.name, method.name);
                report("target.service.methods", Problem::MixedMethod(name));
            }
        }
    }
}
