//! The numbers by which requests are suspected and convicted.

use crate::types::Millis;

/// Crashes of a backend server that a request ran on alone, after which it is convicted.
pub const ALONE_LIMIT: usize = 2;
/// Crashes in all, after which it is convicted even if it never ran alone.
pub const TOTAL_LIMIT: usize = 3;
/// How long a crash counts; a conviction ends when its crashes do.
pub const CRASH_TTL: Millis = Millis(1_800_000);
/// The suspects one entry keeps; the oldest give way.
pub const MAX_CASES: usize = 512;
/// The crashes kept of one suspect.
pub const MAX_MARKS: usize = 4;
/// The suspects in one message.
pub const MAX_SUSPECTS: usize = 16;
/// Sends of one change for each doubling of the number of entries.
pub const SPREAD: u32 = 3;
