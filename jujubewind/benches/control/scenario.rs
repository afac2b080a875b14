//! The fleets that are measured, at rest and disturbed.

use super::fleet::Fleet;
use super::meter::Meter;
use super::row::Row;
use super::usage;

/// The failure domains of every fleet.
const DOMAINS: usize = 7;
/// The seed of every fleet.
const SEED: u64 = 1;
/// The seconds over which a fleet at rest is measured.
const SPAN: usize = 60;
/// The longest wait for all entries to know all members, in seconds.
const LONGEST: usize = 600;
/// The seconds between two looks.
const LOOK: usize = 5;

/// The number of processes of each role.
#[derive(Clone, Copy)]
pub struct Size {
    entries: u32,
    agents: u32,
}

impl Size {
    /// A fleet of so many entries and agents.
    pub const fn new(entries: u32, agents: u32) -> Self {
        Self { entries, agents }
    }

    /// The entries.
    pub fn entries(self) -> f64 {
        f64::from(self.entries)
    }

    /// The agents.
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

/// The figures of a fleet in which nothing happens.
pub fn steady(size: Size) -> Row {
    let before = usage::memory();
    let mut fleet = size.fleet();
    let settled = settle(&mut fleet, size.members());
    fleet.run(SPAN);
    let memory = usage::memory() - before;
    let start = usage::processor();
    fleet.run(SPAN);
    let processor = usage::processor() - start;
    let mut meter = Meter::new(size.entries as usize);
    fleet.run_counting(SPAN, |from, to, news| meter.count(from, to, news));
    let seconds = f64::from(u32::try_from(SPAN).unwrap_or(u32::MAX));
    let (entry, agent) = meter.rates(size.entries(), size.agents(), seconds);
    Row {
        size,
        entry,
        agent,
        processor: processor / 1_000.0 / size.entries() / seconds,
        memory: memory / 1_024.0 / size.entries(),
        settled,
    }
}

/// What failures cost at their worst and how long they last.
pub fn disturbed(size: Size) -> Vec<String> {
    let mut fleet = size.fleet();
    let restart = watch(&mut fleet, size, size.members());
    let mut reports = vec![format!("all restart at once: {restart}")];
    fleet.run(SPAN);
    let lost: Vec<usize> = (0..size.members()).filter(|i| i % DOMAINS == 1).collect();
    fleet.down.extend(lost);
    reports.push(format!(
        "a failure domain lost: {}",
        watch(&mut fleet, size, 0)
    ));
    fleet.down.clear();
    reports.push(format!(
        "it comes back: {}",
        watch(&mut fleet, size, size.members())
    ));
    fleet.run(SPAN);
    let some: Vec<usize> = (0..size.members()).step_by(100).collect();
    fleet.down.extend(&some);
    let left = size.members() - some.len();
    reports.push(format!(
        "one in a hundred dies at once: {}",
        watch(&mut fleet, size, left)
    ));
    reports
}

/// The highest rate over five seconds and the time until all entries count `members`.
fn watch(fleet: &mut Fleet, size: Size, members: usize) -> String {
    let mut peak: f64 = 0.0;
    let mut last = 0.0;
    for seconds in (LOOK..=LONGEST).step_by(LOOK) {
        let mut meter = Meter::new(size.entries as usize);
        fleet.run_counting(LOOK, |from, to, news| meter.count(from, to, news));
        let (entry, _) = meter.rates(size.entries(), size.agents(), 5.0);
        peak = peak.max(entry.bytes);
        last = entry.bytes;
        let done = members > 0 && knows(fleet, members);
        if done || (members == 0 && seconds >= SPAN) {
            return format!("peak {peak:.0} B/s an entry, {last:.0} B/s after {seconds} s");
        }
    }
    format!("peak {peak:.0} B/s an entry, {last:.0} B/s, NOT settled after {LONGEST} s")
}

fn settle(fleet: &mut Fleet, members: usize) -> usize {
    for seconds in (LOOK..=LONGEST).step_by(LOOK) {
        fleet.run(LOOK);
        if knows(fleet, members) {
            return seconds;
        }
    }
    LONGEST
}

fn knows(fleet: &Fleet, members: usize) -> bool {
    let knows = |count: usize| count == members;
    let ignorant = fleet.entries_without(|m| knows(m.view().living().count()));
    ignorant.is_empty()
}
