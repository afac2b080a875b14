//! The measurements of one fleet.

use super::meter::Traffic;
use super::scenario::Size;

/// The cost per daemon in a fleet of one size.
pub struct Row {
    /// The size of the fleet.
    pub size: Size,
    /// The traffic of an entry per second.
    pub entry: Traffic,
    /// The traffic of an agent per second.
    pub agent: Traffic,
    /// CPU time per second in microseconds: that of the whole fleet divided by the number of
    /// entries.
    pub cpu_micros: f64,
    /// Memory in KiB: that of the whole fleet divided by the number of entries.
    pub memory_kib: f64,
    /// The seconds until all entries knew all members.
    pub settle_seconds: usize,
}

impl Row {
    /// Returns the number of entries and agents.
    pub fn members(&self) -> f64 {
        self.size.entries() + self.size.agents()
    }

    /// Prints the header of the table.
    pub fn print_header() {
        println!(
            "| entries | agents | entry msg/s | entry B/s | agent msg/s | agent B/s \
             | entry us/s | entry KiB | settled s |"
        );
        println!("|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    }

    /// Prints a row of the table.
    pub fn print(&self) {
        println!(
            "| {} | {} | {:.1} | {:.0} | {:.1} | {:.0} | {:.0} | {:.0} | {} |",
            self.size.entries(),
            self.size.agents(),
            self.entry.messages,
            self.entry.bytes,
            self.agent.messages,
            self.agent.bytes,
            self.cpu_micros,
            self.memory_kib,
            self.settle_seconds,
        );
    }
}
