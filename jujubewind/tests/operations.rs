//! docs/OPERATIONS.md lists exactly the refusal reasons and metrics that exist.

use std::collections::BTreeSet;

use jujubewind::direct::Notice;
use jujubewind::direct::Outcome;
use jujubewind::direct::TablePart;
use jujubewind::metrics::AgentMetrics;
use jujubewind::metrics::DirectGauges;
use jujubewind::metrics::DirectMetrics;
use jujubewind::metrics::EntryMetrics;
use jujubewind::refusal::Reason;
use jujubewind::types::Class;
use jujubewind::types::Millis;
use jujubewind::types::Revision;
use jujubewind::types::Tokens;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

/// The cells of the table rows in a section, without the header rows.
fn rows(section: &str) -> Vec<Vec<&'static str>> {
    let heading = format!("\n## {section}\n");
    let (_, text) = PAGE.split_once(&heading).expect("the section exists");
    let text = text.split("\n## ").next().unwrap_or_default();
    let lines = text.lines().filter(|line| line.starts_with('|'));
    let cells = lines.map(|line| line.trim_matches('|').split('|').map(str::trim).collect());
    cells.skip(2).collect()
}

/// The names in the first column.
fn names(rows: &[Vec<&'static str>]) -> Vec<String> {
    let names = rows.iter().map(|row| row[0].trim_matches('`').to_owned());
    names.collect()
}

fn metrics() -> BTreeSet<String> {
    let entry = EntryMetrics::default();
    // A histogram is encoded only once it has a value.
    entry.record_first_token(Tokens(1), Class::Batch, Millis(1));
    let entry = entry.encode(Revision(1), None, 1);
    let agent = AgentMetrics::default().encode(0, Tokens(0), 0);
    let direct = DirectMetrics::default();
    direct.count_outcome(Outcome::Served);
    direct.count_truncated("deadline");
    direct.count_notice(Notice {
        leaving: true,
        ..Notice::default()
    });
    direct.set_unread(TablePart::Routes, 1);
    direct.record_first_event(Tokens(1), Millis(1));
    direct.record_end(Tokens(1), Millis(1), Millis(1));
    let direct = direct.encode(&DirectGauges::default());
    let text = entry + &agent + &direct;
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names = lines.filter_map(|line| line.split_whitespace().next());
    names.map(ToOwned::to_owned).collect()
}

#[test]
fn each_refusal_reason_is_listed_once() {
    let rows = rows("Refusal reasons");

    let reasons: Vec<String> = Reason::ALL.iter().map(ToString::to_string).collect();

    assert_eq!(
        names(&rows),
        reasons,
        "one row each, in the order of declaration"
    );
}

#[test]
fn each_metric_is_listed_once() {
    let rows = rows("Metrics and alarms");

    let listed = names(&rows);

    let unique: BTreeSet<String> = listed.iter().cloned().collect();
    assert_eq!(unique, metrics());
    assert_eq!(unique.len(), listed.len(), "a metric is listed twice");
}

#[test]
fn no_row_has_an_empty_cell() {
    for section in ["Refusal reasons", "Metrics and alarms"] {
        for row in rows(section) {
            assert!(
                row.iter().all(|cell| !cell.is_empty()),
                "{section}: {row:?}"
            );
        }
    }
}
