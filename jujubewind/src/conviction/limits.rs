//! Limits for suspecting and convicting requests.

use crate::types::Millis;

/// Number of crashes while running alone on a backend server after which a request is convicted.
pub const ALONE_LIMIT: usize = 2;
/// Total number of crashes after which a request is convicted even if it never ran alone.
pub const TOTAL_LIMIT: usize = 3;
/// How long a crash is counted; a conviction ends when its crashes expire.
pub const CRASH_TTL: Millis = Millis(1_800_000);
/// How long after its last crash a convicted part of a prompt is tried again, for each suspected part
/// of the request.
pub const PART_TRIAL_PAUSE: Millis = Millis(1_000);
/// How long after its last crash a convicted request is tried again. A wrong conviction of one request
/// costs less than that of a part, which many requests share.
pub const REQUEST_TRIAL_PAUSE: Millis = Millis(5_000);
/// By what each crash on trial lengthens the pause: no more than three trials fit into [`CRASH_TTL`].
pub const TRIAL_BACKOFF: u64 = 20;
/// Maximum number of trials that do not count for a request, as their crashes may be due to something
/// else. A part that ends servers may stand beside something else in each trial.
pub const MAX_DOUBTFUL_TRIALS: usize = 2;
/// The time in which the number of entries that may begin a trial doubles.
pub const TRIAL_STEP: Millis = Millis(250);
/// Maximum number of crash histories that one entry keeps; the oldest is evicted first.
pub const MAX_HISTORIES: usize = 512;
/// Maximum number of crashes kept per request or part: enough to compare what shares them.
pub const MAX_MARKS_PER_REQUEST: usize = 8;
/// How long after a conviction was kept outside the entries it is kept anew, with its new age.
pub const KEEP_INTERVAL: Millis = Millis(240_000);
/// Maximum number of suspects in one message.
pub const MAX_SUSPECTS_PER_MESSAGE: usize = 8;
/// How long after a crash responses that were on their way may still arrive.
pub const LATE_RESPONSE: Millis = Millis(500);
/// How long an answer must go on until it shows that the parts of its prompt are sound.
pub const PROGRESS_SPAN: Millis = Millis(1_000);
/// How long after an answer on a part went on no crash is attributed to the part.
pub const SOUND_SPAN: Millis = Millis(5_000);
/// Maximum number of sound parts that one entry keeps.
pub const MAX_SOUND_PARTS: usize = 4_096;
/// Number of sends of one change per doubling of the number of entries.
pub const SENDS_PER_DOUBLING: u32 = 3;
