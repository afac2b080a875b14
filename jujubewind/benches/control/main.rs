//! What control costs a daemon, in growing fleets under virtual time.
//!
//! `cargo bench -p jujubewind --bench control` prints the tables that `docs/CAPACITY.md` quotes and
//! fails if the cost of a daemon grows with the fleet.

mod fit;
mod meter;
mod row;
mod scenario;
mod usage;
mod wire;

#[path = "../../tests/control/fleet.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod fleet;

use std::process::ExitCode;

use fit::Fit;
use row::Row;
use scenario::Size;

/// The fleets, up to the size that the design is for.
const SIZES: [Size; 6] = [
    Size::new(12, 38),
    Size::new(24, 76),
    Size::new(48, 152),
    Size::new(96, 304),
    Size::new(205, 650),
    Size::new(410, 1_300),
];
/// The fleet against which the last one is held.
const BASE: usize = 2;
/// How much more a daemon may spend in a fleet more than eight times as large.
const MOST_GROWTH: f64 = 1.5;

fn main() -> ExitCode {
    Row::print_head();
    let rows: Vec<Row> = SIZES
        .iter()
        .map(|size| scenario::steady(*size))
        .inspect(Row::print)
        .collect();
    print_fits(&rows);
    for report in scenario::disturbed(SIZES[SIZES.len() - 1]) {
        println!("{report}");
    }
    verdict(&rows)
}

fn print_fits(rows: &[Row]) {
    let fit = |cost: fn(&Row) -> f64| {
        let points: Vec<(f64, f64)> = rows.iter().map(|row| (row.members(), cost(row))).collect();
        Fit::of(&points)
    };
    println!(
        "fit, entry bytes/s over members: {}",
        fit(|row| row.entry.bytes)
    );
    println!(
        "fit, entry messages/s over members: {}",
        fit(|row| row.entry.messages)
    );
    println!(
        "fit, agent bytes/s over members: {}",
        fit(|row| row.agent.bytes)
    );
    println!(
        "fit, entry us of processor/s over members: {}",
        fit(|row| row.processor)
    );
    println!("fit, entry KiB over members: {}", fit(|row| row.memory));
}

fn verdict(rows: &[Row]) -> ExitCode {
    let (base, last) = (&rows[BASE], &rows[rows.len() - 1]);
    let growths = [
        (
            "entry messages/s",
            last.entry.messages / base.entry.messages,
        ),
        ("entry bytes/s", last.entry.bytes / base.entry.bytes),
        (
            "agent messages/s",
            last.agent.messages / base.agent.messages,
        ),
        ("agent bytes/s", last.agent.bytes / base.agent.bytes),
    ];
    let mut failed = false;
    for (name, growth) in growths {
        let holds = growth <= MOST_GROWTH;
        failed |= !holds;
        let word = if holds { "ok" } else { "FAILED" };
        println!("{name}: grows by {growth:.2}, allowed {MOST_GROWTH}: {word}");
    }
    if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
