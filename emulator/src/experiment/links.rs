//! Delays between clients, entries and agents.

use jujubewind::types::MonoTime;

/// Failure domains of the region.
pub const DOMAINS: usize = 3;

/// From a client to an entry, in microseconds.
pub const CLIENT: u64 = 1_000;
/// Within a failure domain, in microseconds.
const NEAR: u64 = 250;
/// Between failure domains, in microseconds.
pub const FAR: u64 = 3_000;

/// The time at which a message between an entry and an agent arrives.
#[must_use]
pub fn across(now: MonoTime, entry: usize, engine: usize) -> MonoTime {
    let delay = if entry % DOMAINS == engine % DOMAINS {
        NEAR
    } else {
        FAR
    };
    MonoTime::from_micros(now.micros() + delay)
}

/// The time at which a message between a client and an entry arrives.
#[must_use]
pub fn to_client(now: MonoTime) -> MonoTime {
    MonoTime::from_micros(now.micros() + CLIENT)
}

/// The delay of the shortest way there and back, in microseconds.
pub const ROUND_TRIP: u64 = 2 * (CLIENT + NEAR);
