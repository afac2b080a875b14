//! The measured scenarios: idle fleets and fleets with failures.

use super::fleet::Fleet;
use super::meter::Meter;
use super::row::Row;
use super::usage;

/// The number of failure domains of every fleet.
const DOMAINS: usize = 7;
/// The seed of every fleet.
const SEED: u64 = 1;
/// The duration of a measurement.
const MEASURE_SECONDS: usize = 60;
/// The longest wait for all entries to know all members.
const MAX_SETTLE_SECONDS: usize = 600;
/// The interval between checks of the fleet.
const CHECK_SECONDS: usize = 5;

/// The number of processes of each role.
#[derive(Clone, Copy)]
pub struct Size {
    entries: u32,
    agents: u32,
}

impl Size {
    /// Creates a size of this many entries and agents.
    pub const fn new(entries: u32, agents: u32) -> Self {
        Self { entries, agents }
    }

    /// Returns the number of entries.
    pub fn entries(self) -> f64 {
        f64::from(self.entries)
    }

    /// Returns the number of agents.
    pub fn agents(self) -> f64 {
        f64::from(self.agents)
    }

    fn fleet(self) -> Fleet {
        Fleet::new(self.entries as usize, self.agents as usize, DOMAINS, SEED)
    }

    fn members(self) -> usize {
        self.entries as usize + self.agents as usize
    }
}

/// Measures a fleet without failures.
pub fn measure_idle(size: Size) -> Row {
    let before = usage::memory_bytes();
    let mut fleet = size.fleet();
    let settle_seconds = settle(&mut fleet, size.members());
    fleet.run(MEASURE_SECONDS);
    let memory = usage::memory_bytes() - before;
    let start = usage::cpu_nanos();
    fleet.run(MEASURE_SECONDS);
    let cpu_nanos = usage::cpu_nanos() - start;
    let mut meter = Meter::new(size.entries as usize);
    fleet.run_counting(MEASURE_SECONDS, |from, to, gossip| {
        meter.count(from, to, gossip);
    });
    let seconds = f64::from(u32::try_from(MEASURE_SECONDS).unwrap_or(u32::MAX));
    let (entry, agent) = meter.rates(size.entries(), size.agents(), seconds);
    Row {
        size,
        entry,
        agent,
        cpu_micros: cpu_nanos / 1_000.0 / size.entries() / seconds,
        memory_kib: memory / 1_024.0 / size.entries(),
        settle_seconds,
    }
}

/// Measures the peak traffic and the recovery time of several failures.
pub fn measure_failures(size: Size) -> Vec<String> {
    let mut fleet = size.fleet();
    let restart = measure_recovery(&mut fleet, size, size.members());
    let mut reports = vec![format!("all restart at once: {restart}")];
    fleet.run(MEASURE_SECONDS);
    let lost: Vec<usize> = (0..size.members()).filter(|i| i % DOMAINS == 1).collect();
    fleet.down.extend(lost);
    reports.push(format!(
        "a failure domain lost: {}",
        measure_recovery(&mut fleet, size, 0)
    ));
    fleet.down.clear();
    reports.push(format!(
        "it comes back: {}",
        measure_recovery(&mut fleet, size, size.members())
    ));
    fleet.run(MEASURE_SECONDS);
    let some: Vec<usize> = (0..size.members()).step_by(100).collect();
    fleet.down.extend(&some);
    let left = size.members() - some.len();
    reports.push(format!(
        "one in a hundred dies at once: {}",
        measure_recovery(&mut fleet, size, left)
    ));
    reports
}

/// Reports the peak traffic of an entry and the time until all entries know `members` members; a
/// count of zero runs for the duration of a measurement.
fn measure_recovery(fleet: &mut Fleet, size: Size, members: usize) -> String {
    let mut peak: f64 = 0.0;
    let mut last = 0.0;
    for seconds in (CHECK_SECONDS..=MAX_SETTLE_SECONDS).step_by(CHECK_SECONDS) {
        let mut meter = Meter::new(size.entries as usize);
        fleet.run_counting(CHECK_SECONDS, |from, to, gossip| {
            meter.count(from, to, gossip);
        });
        let (entry, _) = meter.rates(size.entries(), size.agents(), 5.0);
        peak = peak.max(entry.bytes);
        last = entry.bytes;
        let done = members > 0 && entries_know(fleet, members);
        if done || (members == 0 && seconds >= MEASURE_SECONDS) {
            return format!("peak {peak:.0} B/s an entry, {last:.0} B/s after {seconds} s");
        }
    }
    format!("peak {peak:.0} B/s an entry, {last:.0} B/s, NOT settled after {MAX_SETTLE_SECONDS} s")
}

/// Runs until all entries know `members` members and returns the seconds it took.
fn settle(fleet: &mut Fleet, members: usize) -> usize {
    for seconds in (CHECK_SECONDS..=MAX_SETTLE_SECONDS).step_by(CHECK_SECONDS) {
        fleet.run(CHECK_SECONDS);
        if entries_know(fleet, members) {
            return seconds;
        }
    }
    MAX_SETTLE_SECONDS
}

fn entries_know(fleet: &Fleet, members: usize) -> bool {
    let is_complete = |count: usize| count == members;
    let behind = fleet.entries_without(|m| is_complete(m.view().living().count()));
    behind.is_empty()
}
