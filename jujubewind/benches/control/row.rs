//! One fleet's figures.

use super::meter::Traffic;
use super::scenario::Size;

/// What a daemon spends in a fleet of one size.
pub struct Row {
    /// The fleet.
    pub size: Size,
    /// The traffic of an entry.
    pub entry: Traffic,
    /// The traffic of an agent.
    pub agent: Traffic,
    /// Microseconds of processor a second; all of the fleet's is put down to the entries.
    pub processor: f64,
    /// KiB of memory; all of the fleet's is put down to the entries.
    pub memory: f64,
    /// Seconds until all entries knew all members.
    pub settled: usize,
}

impl Row {
    /// The number of entries and agents.
    pub fn members(&self) -> f64 {
        self.size.entries() + self.size.agents()
    }

    /// Prints the head of the table.
    pub fn print_head() {
        println!(
            "| entries | agents | entry msg/s | entry B/s | agent msg/s | agent B/s \
             | entry us/s | entry KiB | settled s |"
        );
        println!("|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    }

    /// Prints a line of the table.
    pub fn print(&self) {
        println!(
            "| {} | {} | {:.1} | {:.0} | {:.1} | {:.0} | {:.0} | {:.0} | {} |",
            self.size.entries(),
            self.size.agents(),
            self.entry.messages,
            self.entry.bytes,
            self.agent.messages,
            self.agent.bytes,
            self.processor,
            self.memory,
            self.settled,
        );
    }
}
