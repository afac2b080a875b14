//! The catalogues under examples/ are valid and state what the two deployments need.

use std::collections::BTreeSet;
use std::path::Path;

use jujubewind::catalogue::Catalogue;
use jujubewind::types::Class;
use jujubewind::types::ModelId;
use jujubewind::types::OrgId;

fn example(name: &str) -> Catalogue {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name);
    Catalogue::read_dir(&dir).expect("the example is valid")
}

fn organisations(catalogue: &Catalogue) -> BTreeSet<&OrgId> {
    catalogue.entries().map(|entry| &entry.owner).collect()
}

fn idempotent(catalogue: &Catalogue, owner: &str, service: &str, method: &str) -> bool {
    let owner = owner.parse().expect("valid name");
    let service: ModelId = service.parse().expect("valid name");
    let entry = catalogue.entry_for(&owner, &service).expect("an entry");
    let service = entry.service().expect("a service");
    service.method(method).expect("a method").idempotent
}

#[test]
fn ravi_bagh_records_attestations_at_most_once() {
    let catalogue = example("ravi-bagh");

    let owner = catalogue.owner_of("example-key-of-office-kasur");

    assert_eq!(owner.map(OrgId::as_str), Some("office-kasur"));
    assert_eq!(organisations(&catalogue).len(), 10);
    assert!(!idempotent(
        &catalogue,
        "office-kasur",
        "attestation",
        "record"
    ));
    assert!(idempotent(
        &catalogue,
        "office-kasur",
        "attestation",
        "grants"
    ));
    assert!(catalogue.entries().all(|entry| entry.class != Class::Batch));
}

#[test]
fn lublin_pays_at_most_once_and_summarises_in_batches() {
    let catalogue = example("lublin");
    let shelter = "shelter-czuby".parse().expect("valid name");
    let model = "audit-summary".parse().expect("valid name");

    let audit = catalogue.entry_for(&shelter, &model).expect("an entry");

    assert_eq!(audit.class, Class::Batch);
    assert_eq!(organisations(&catalogue).len(), 10);
    assert!(!idempotent(
        &catalogue,
        "shelter-czuby",
        "payment-desk",
        "transfers"
    ));
    assert!(idempotent(
        &catalogue,
        "shelter-czuby",
        "payment-desk",
        "balances"
    ));
}
