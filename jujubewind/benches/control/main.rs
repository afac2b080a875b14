//! Measures the cost of the control plane per daemon, in fleets of growing size in virtual time.
//!
//! `cargo bench -p jujubewind --bench control` prints the tables that `docs/CAPACITY.md` quotes and
//! fails if the traffic of a daemon grows with the fleet.

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

/// The sizes of the fleets, up to the largest supported one.
const SIZES: [Size; 6] = [
    Size::new(12, 38),
    Size::new(24, 76),
    Size::new(48, 152),
    Size::new(96, 304),
    Size::new(205, 650),
    Size::new(410, 1_300),
];
/// The index of the fleet with which the largest one is compared.
const BASELINE: usize = 2;
/// The most growth of a daemon's traffic from the baseline to the largest fleet, which has more
/// than eight times as many members.
const MAX_GROWTH: f64 = 1.5;

fn main() -> ExitCode {
    Row::print_header();
    let rows: Vec<Row> = SIZES
        .iter()
        .map(|size| scenario::measure_idle(*size))
        .inspect(Row::print)
        .collect();
    print_fits(&rows);
    for report in scenario::measure_failures(SIZES[SIZES.len() - 1]) {
        println!("{report}");
    }
    check_growth(&rows)
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
        fit(|row| row.cpu_micros)
    );
    println!("fit, entry KiB over members: {}", fit(|row| row.memory_kib));
}

fn check_growth(rows: &[Row]) -> ExitCode {
    let (base, last) = (&rows[BASELINE], &rows[rows.len() - 1]);
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
        let is_met = growth <= MAX_GROWTH;
        failed |= !is_met;
        let word = if is_met { "ok" } else { "FAILED" };
        println!("{name}: grows by {growth:.2}, allowed {MAX_GROWTH}: {word}");
    }
    if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
