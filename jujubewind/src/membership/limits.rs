//! Timeouts and sizes that bound the cost and the detection time of membership.

use crate::types::Millis;

/// Interval between heartbeats and between exchanges.
pub const PERIOD: Millis = Millis(1_000);
/// Number of entries that monitor one member's heartbeats.
pub const MONITORS_PER_MEMBER: usize = 2;
/// Time without a message after which a monitor probes the member.
pub const SILENCE_TIMEOUT: Millis = Millis(3_000);
/// Time to wait for the answer to a probe before the member becomes suspect.
pub const PROBE_TIMEOUT: Millis = Millis(2_000);
/// Time a suspect has to refute the suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT: Millis = Millis(5_000);
/// Time without a sign of life from a failure domain after which all members it monitors are
/// treated as suspect.
pub const DOMAIN_SILENCE_TIMEOUT: Millis = Millis(10_000);
/// Time a dead member's record is kept, so that delayed gossip does not revive it.
pub const RECORD_TTL: Millis = Millis(600_000);
/// Time for which an unresponsive monitor is skipped.
pub const SKIP_TIME: Millis = Millis(60_000);
/// Number of unanswered heartbeats after which a monitor is skipped.
pub const MAX_UNANSWERED: u32 = 3;
/// Periods between two probes of configured addresses once another entry is known.
pub const RECONTACT_PERIODS: usize = 10;
/// Maximum number of records in one message.
pub const MAX_RECORDS: usize = 24;
/// Number of peers that receive pending changes in each period.
pub const FANOUT: usize = 3;
/// Number of peers that receive an urgent change at once.
pub const URGENT_FANOUT: usize = 4;
/// Number of sends of one change per doubling of the number of entries.
pub const SENDS_PER_DOUBLING: u32 = 3;
