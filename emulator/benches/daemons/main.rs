//! Measures the idle cost of the control plane in real daemons, for small fleets on loopback.
//!
//! `cargo build --release && cargo bench -p jujube-emulator --bench daemons` prints the table that
//! `docs/CAPACITY.md` quotes. The agents serve plain services that receive no calls.

mod usage;

#[path = "../../tests/system/answer.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod answer;
#[path = "../../tests/system/caller.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod caller;
#[path = "../../tests/system/declaration.rs"]
mod declaration;
#[path = "../../tests/system/fleet.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod fleet;
#[path = "../../tests/system/process.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod process;

use std::thread;
use std::time::Duration;

use fleet::Fleet;
use usage::Usage;

/// The numbers of entries and of agents.
const SIZES: [(usize, usize); 3] = [(2, 4), (4, 8), (8, 16)];
/// The time before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(5);
/// The duration of the measurement.
const DURATION: Duration = Duration::from_secs(20);

fn main() {
    println!("| entries | agents | entry us/s | entry KiB | agent us/s | agent KiB |");
    println!("|--:|--:|--:|--:|--:|--:|");
    for (entries, agents) in SIZES {
        measure(entries, agents);
    }
}

fn measure(entries: usize, agents: usize) {
    let entry_names = names("e", entries);
    let agent_names = names("s", agents);
    let mut fleet = Fleet::with_entries(entries);
    for name in &entry_names {
        fleet = fleet.entry(name);
    }
    for name in &agent_names {
        fleet = fleet.service(name);
    }
    fleet.wait_until("every entry knows every agent", |fleet| {
        let mut known = entry_names.iter().map(|name| fleet.agents_known(name));
        known.all(|count| count == agents)
    });
    thread::sleep(WARM_UP);
    let agent_processes: Vec<String> = agent_names.iter().map(|n| format!("{n}-agent")).collect();
    let before = (
        Usage::measure(&fleet, &entry_names),
        Usage::measure(&fleet, &agent_processes),
    );
    thread::sleep(DURATION);
    let after = (
        Usage::measure(&fleet, &entry_names),
        Usage::measure(&fleet, &agent_processes),
    );
    println!(
        "| {entries} | {agents} | {:.0} | {:.0} | {:.0} | {:.0} |",
        after.0.cpu_rate(&before.0, DURATION),
        after.0.memory_kib,
        after.1.cpu_rate(&before.1, DURATION),
        after.1.memory_kib,
    );
}

fn names(prefix: &str, count: usize) -> Vec<String> {
    let numbers = 1..=count;
    numbers.map(|number| format!("{prefix}{number}")).collect()
}
