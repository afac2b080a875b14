//! Network delays between clients, entries and agents.

use jujubewind::types::MonoTime;

/// The number of failure domains.
pub const DOMAINS: usize = 3;

/// The delay between a client and an entry.
pub const CLIENT_DELAY_MICROS: u64 = 1_000;
/// The delay within a failure domain.
const LOCAL_DELAY_MICROS: u64 = 250;
/// The delay between failure domains.
pub const CROSS_DOMAIN_DELAY_MICROS: u64 = 3_000;

/// Returns when a message between an entry and an agent, sent now, arrives.
#[must_use]
pub fn agent_arrival(now: MonoTime, entry: usize, engine: usize) -> MonoTime {
    let delay = if entry % DOMAINS == engine % DOMAINS {
        LOCAL_DELAY_MICROS
    } else {
        CROSS_DOMAIN_DELAY_MICROS
    };
    MonoTime::from_micros(now.micros() + delay)
}

/// Returns when a message between a client and an entry, sent now, arrives.
#[must_use]
pub fn client_arrival(now: MonoTime) -> MonoTime {
    MonoTime::from_micros(now.micros() + CLIENT_DELAY_MICROS)
}

/// The shortest round trip between a client and an agent.
pub const MIN_ROUND_TRIP_MICROS: u64 = 2 * (CLIENT_DELAY_MICROS + LOCAL_DELAY_MICROS);
