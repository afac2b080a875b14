//! Timer periods of the control task.

use crate::types::Millis;

/// How often queued requests are retried and changed rows are sent to peers; well under the
/// shortest `max_gap`.
pub const TICK_PERIOD: Millis = Millis(20);
/// How often all rows are sent to peers, changed or not; four updates fit into the peer timeout.
pub const FULL_UPDATE_PERIOD: Millis = Millis(500);
/// How long it is remembered that a backend server has left; no request lasts longer.
pub const DEPARTURE_MEMORY: Millis = Millis(600_000);
/// How often expired suspects and servers are dropped.
pub const EXPIRY_PERIOD: Millis = Millis(500);
/// How long a backend server may be missing from the list before it counts as departed. A dead one
/// is listed for three heartbeats; memory reserved for its requests has to be free a second later.
pub const MAX_ABSENCE: Millis = Millis(500);
