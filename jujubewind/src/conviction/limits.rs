//! Limits for suspecting and convicting requests.

use crate::types::Millis;

/// Number of crashes while running alone on a backend server after which a request is convicted.
pub const ALONE_LIMIT: usize = 2;
/// Total number of crashes after which a request is convicted even if it never ran alone.
pub const TOTAL_LIMIT: usize = 3;
/// How long a crash is counted; a conviction ends when its crashes expire.
pub const CRASH_TTL: Millis = Millis(1_800_000);
/// Maximum number of crash histories that one entry keeps; the oldest is evicted first.
pub const MAX_HISTORIES: usize = 512;
/// Maximum number of crashes kept per request.
pub const MAX_MARKS_PER_REQUEST: usize = 4;
/// Maximum number of suspects in one message.
pub const MAX_SUSPECTS_PER_MESSAGE: usize = 16;
/// Number of sends of one change per doubling of the number of entries.
pub const SENDS_PER_DOUBLING: u32 = 3;
