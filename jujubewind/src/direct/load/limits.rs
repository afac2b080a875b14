//! Spans of the shared view.

use crate::types::Millis;

/// How long a peer's rows count without word from it: four times its longest silence.
pub const SILENCE: Millis = Millis(2_000);
/// How much longer than predicted a part may take before it counts as read, in thousandths of its predicted time.
pub const GRACE: u64 = 500;
/// The share of a part that is assumed to be left in that time, in thousandths.
pub const LEFT: u64 = 100;
