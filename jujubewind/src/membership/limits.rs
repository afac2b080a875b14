//! Spans and sizes that bound what membership costs and how fast it notices.

use crate::types::Millis;

/// The period of heartbeats and exchanges.
pub const PERIOD: Millis = Millis(1_000);
/// The entries that listen for one member's heartbeats.
pub const HOMES: usize = 2;
/// The silence after which a home asks the member itself.
pub const SILENCE: Millis = Millis(3_000);
/// The wait for the answer to that before the member is suspect.
pub const PROBE_WAIT: Millis = Millis(2_000);
/// The time a suspect has to object before it is dead.
pub const SUSPICION: Millis = Millis(5_000);
/// The silence of a failure domain after which all members it watches are in doubt.
pub const DOMAIN_SILENCE: Millis = Millis(10_000);
/// The time a dead member's record is kept, so that late news does not revive it.
pub const FORGET: Millis = Millis(600_000);
/// The time a home that does not answer is passed over.
pub const PASS_OVER: Millis = Millis(60_000);
/// The unanswered heartbeats after which a home is passed over.
pub const MISSED: u32 = 3;
/// The periods between two tries of an address from the settings, once an entry is known.
pub const RECONTACT: usize = 10;
/// The records in one message.
pub const MAX_RECORDS: usize = 24;
/// The peers told in each period while there is something new.
pub const FANOUT: usize = 3;
/// The peers told at once of what cannot wait.
pub const EAGER: usize = 4;
/// Sends of one change for each doubling of the number of entries.
pub const SPREAD: u32 = 3;
