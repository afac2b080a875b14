//! Time limits of one request.

use crate::types::Millis;

/// When to come back to a process that has not read its configuration yet.
pub const RETRY_START: Millis = Millis(500);
/// How long a request waits for a process that has just started.
pub const START_WAIT: Millis = Millis(400);
/// How often it looks.
pub const START_TICK: Millis = Millis(20);
/// When to come back after a backend server refused or could not be reached.
pub const RETRY_SERVER: Millis = Millis(300);
/// Backend servers tried that did not run the request, the first included.
pub const TRIES: usize = 4;
/// The age of the proof up to which a missing route or key is believed to be missing.
pub const MISSING_PROOF: Millis = Millis(3_200);
/// The least silence after which a call that may be repeated is sent elsewhere.
pub const LEAST_SILENCE: Millis = Millis(300);
/// The share of its callers' patience, in thousandths, for which a stream may be silent before its first event
/// beyond twice the predicted time. Reading a long prompt once more would cost more than it saves.
pub const FIRST_SILENCE: u64 = 350;
/// The share of its callers' patience, in thousandths, for which a stream may be silent between two events.
pub const PAUSE_SILENCE: u64 = 600;
/// How long memory stays set aside without renewal; an entry that dies leaves it behind for as long.
pub const RESERVATION_TTL: Millis = Millis(3_500);
/// How often it is renewed: before a single lost order matters.
pub const RESERVATION_RENEW_INTERVAL: Millis = Millis(1_300);
/// How long an engine may take to answer such an order.
pub const ORDER_TIME: Millis = Millis(500);
/// How often an order to give memory back is sent if no answer comes.
pub const RELEASES: usize = 3;
/// The pause before memory is asked for elsewhere.
pub const RESERVATION_RETRY_DELAY: Millis = Millis(100);
/// What is left of the time when a call is no longer sent elsewhere.
pub const LEAST_LEFT: Millis = Millis(50);
