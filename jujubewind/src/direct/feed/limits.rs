//! Limits of following the store through another entry.

use crate::types::Millis;

/// How often an entry asks.
pub const ASK_INTERVAL: Millis = Millis(400);
/// How long an answer may take.
pub const ANSWER_TIMEOUT: Millis = Millis(400);
/// Unanswered questions in a row after which a source counts as silent; datagrams may be lost.
pub const MAX_UNANSWERED: u32 = 2;
/// The greatest age of a source's knowledge: twice the wait of its watch, as an answer confirms what
/// was in force when the watch began, and the interval of its own questions if it asks another.
pub const MAX_SOURCE_AGE: Millis = Millis(2_000);
/// How long a source that was silent is not asked again.
pub const SOURCE_AVOIDANCE: Millis = Millis(4_000);
/// How long a source that was stale is not asked again: after an outage of the store it is soon
/// fresh, and until then all entries call the store.
pub const STALE_AVOIDANCE: Millis = Millis(1_000);
/// Stale sources in a row after which an entry tries the store itself.
pub const MAX_STALE: u32 = 3;
/// The longest random delay before an entry reads the store because its sources are silent, so that
/// not all do at once.
pub const MAX_TAKEOVER_DELAY: Millis = Millis(300);
/// The most changes that an entry remembers.
pub const MAX_LOGGED_CHANGES: usize = 2_048;
/// The changes in one answer, so that it stays below the smallest MTU.
pub const CHANGES_PER_ANSWER: usize = 10;
