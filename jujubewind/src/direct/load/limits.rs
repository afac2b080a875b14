//! Timeouts and margins of the shared load table.

use crate::types::Millis;

/// How long a peer counts after its last digest, and a row after the last digest with it; four
/// times the period in which an entry sends all of its rows.
pub const PEER_TIMEOUT: Millis = Millis(2_000);
/// How long after its last digest a peer is chosen to pass on updates; two full update periods and
/// a little more.
pub const RELAY_TIMEOUT: Millis = Millis(1_200);
/// How long after its predicted end a prefill may still be running, in thousandths of its predicted
/// duration.
pub const OVERRUN_PERMILLE: u64 = 500;
/// The period over which the work that peers start is added up.
pub const INFLOW_PERIOD: Millis = Millis(500);
/// The shortest time from which the rate of a period is estimated while it lasts.
pub const MIN_INFLOW_TIME: Millis = Millis(100);
/// How long it takes until a placement shows in the load that other entries see: two links and the
/// entry that passes the update on.
pub const VIEW_LAG: Millis = Millis(50);
/// The share of a prefill that is assumed to remain during that overrun, in thousandths.
pub const OVERRUN_WORK_PERMILLE: u64 = 100;
