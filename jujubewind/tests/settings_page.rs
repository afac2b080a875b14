//! docs/SETTINGS.md lists exactly the keys of the settings files, with their defaults.

use std::collections::BTreeMap;
use std::path::Path;

use jujubewind::settings;
use jujubewind::settings::AgentSettings;
use jujubewind::settings::EntrySettings;
use serde::Serialize;
use serde_norway::Mapping;
use serde_norway::Value;

/// The keys of each section with their defaults; empty for a required key.
type Section = BTreeMap<String, String>;

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/SETTINGS.md");
    std::fs::read_to_string(path).expect("the page can be read")
}

/// The table below `heading`.
fn documented(heading: &str) -> Section {
    let page = page();
    let section = page
        .split("\n#")
        .find(|part| part.trim_start_matches('#').trim().starts_with(heading))
        .expect("the page has the heading");
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let unquoted = |cell: &str| cell.trim_matches('`').to_owned();
        (unquoted(cells[1]), unquoted(cells[3]))
    })
    .collect()
}

fn mapping(settings: &impl Serialize) -> Mapping {
    let value = serde_norway::to_value(settings).expect("settings have a YAML form");
    value.as_mapping().expect("settings are a map").clone()
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::Mapping(_) => "see below".to_owned(),
        Value::Sequence(list) if list.is_empty() => "[]".to_owned(),
        other => serde_norway::to_string(other)
            .expect("a YAML form")
            .trim()
            .to_owned(),
    }
}

/// The keys of `map` with their defaults; empty for those in `required`.
fn actual(map: &Mapping, required: &[&str]) -> Section {
    let keys = map.iter().map(|(key, value)| {
        let key = key.as_str().expect("keys are text").to_owned();
        let default = if required.contains(&key.as_str()) {
            String::new()
        } else {
            text(value)
        };
        (key, default)
    });
    keys.collect()
}

fn entry() -> EntrySettings {
    let file = "{node: e, domain: d, listen: '127.0.0.1:1', peer: '127.0.0.1:2', \
        platform: '127.0.0.1:3'}";
    let settings: EntrySettings = settings::parse(file).expect("the minimal settings are valid");
    EntrySettings {
        platform: None,
        ..settings
    }
}

fn agent() -> AgentSettings {
    let file = "{node: a, domain: d, listen: '127.0.0.1:1', admin: '127.0.0.1:2', \
        backend: {kind: engine, addr: '127.0.0.1:3'}, models: [m]}";
    settings::parse(file).expect("the minimal settings are valid")
}

#[test]
fn the_page_lists_the_settings_of_an_entry() {
    let required = ["node", "domain", "listen", "peer"];

    let keys = actual(&mapping(&entry()), &required);

    assert_eq!(documented("`jujube-entry`"), keys);
}

#[test]
fn the_page_lists_the_settings_of_an_agent() {
    let required = ["node", "domain", "listen", "admin", "backend", "models"];

    let keys = actual(&mapping(&agent()), &required);

    assert_eq!(documented("`jujube-agent`"), keys);
}

#[test]
fn the_page_lists_the_keys_of_nested_maps() {
    let agent = agent();

    let backend = actual(&mapping(&agent.backend), &["kind", "addr"]);
    let cost = actual(&mapping(&agent.cost), &[]);

    assert_eq!(documented("`backend`"), backend);
    assert_eq!(documented("`cost`"), cost);
}
