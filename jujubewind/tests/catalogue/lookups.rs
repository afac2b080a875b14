//! Lookups in a catalogue, and its stored form.

use std::sync::Arc;

use jujubewind::catalogue::Catalogue;
use jujubewind::catalogue::Part;
use jujubewind::types::ModelId;
use jujubewind::types::OrgId;
use jujubewind::types::Revision;

use crate::fixture::model_entry;
use crate::fixture::read;
use crate::fixture::service_entry;

fn org(name: &str) -> OrgId {
    name.parse().expect("valid name")
}

fn model(name: &str) -> ModelId {
    name.parse().expect("valid name")
}

fn two_organisations() -> Catalogue {
    read(&[
        model_entry("a1", "office-a", "summary"),
        model_entry("b1", "office-b", "review"),
        service_entry("b2", "office-b", false),
    ])
    .expect("valid catalogue")
}

#[test]
fn a_key_identifies_only_its_owner() {
    let catalogue = two_organisations();

    let owner = catalogue.owner_of("key-of-office-a");

    assert_eq!(owner, Some(&org("office-a")));
    assert_eq!(catalogue.owner_of("another"), None);
}

#[test]
fn an_entry_is_found_by_owner_and_name() {
    let catalogue = two_organisations();

    let entry = catalogue.entry_for(&org("office-b"), &model("desk"));

    let service = entry.and_then(|entry| entry.service()).expect("a service");
    assert!(!service.method("transfers").expect("listed").idempotent);
    assert!(service.method("unlisted").is_none());
    assert!(
        catalogue
            .entry_for(&org("office-a"), &model("desk"))
            .is_none()
    );
}

#[test]
fn a_catalogue_is_unchanged_by_encoding_and_decoding() {
    let catalogue = two_organisations();
    let texts: Vec<String> = catalogue.parts().map(|part| part.encode()).collect();

    let parts = texts.iter().map(|text| Part::decode(text).map(Arc::new));
    let decoded = Catalogue::from_parts(Revision(7), parts.map(|part| part.expect("a part")));

    let decoded = decoded.expect("valid catalogue");
    assert_eq!(decoded.revision(), Revision(7));
    assert!(decoded.entries().eq(catalogue.entries()));
    assert_eq!(decoded.owner_of("key-of-office-b"), Some(&org("office-b")));
}

#[test]
fn the_order_of_entries_does_not_change_a_part() {
    let entries = [
        model_entry("a1", "office-a", "summary"),
        model_entry("a2", "office-a", "review"),
    ];
    let reversed = [entries[1].clone(), entries[0].clone()];

    let hashes = [read(&entries), read(&reversed)].map(|catalogue| {
        let catalogue = catalogue.expect("valid catalogue");
        catalogue
            .parts()
            .map(|part| part.hash())
            .collect::<Vec<_>>()
    });

    assert_eq!(hashes[0], hashes[1]);
}

#[test]
fn an_entry_in_the_part_of_another_organisation_is_refused() {
    let catalogue = two_organisations();
    let mut part = Part::clone(catalogue.parts().next().expect("a part"));
    part.owner = org("office-c");

    let refused = Catalogue::from_parts(Revision(1), [Arc::new(part)]);

    let message = refused.expect_err("refused").to_string();
    assert!(message.contains("entry of `office-a` in the part of `office-c`"));
}
