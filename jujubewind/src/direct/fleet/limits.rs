//! Timeouts and thresholds for listing and quarantining backend servers.

use crate::types::Millis;

/// How long after an outage of the store a missing server is kept: live servers are listed again
/// within about two seconds of the store's recovery.
pub const RELISTING_GRACE: Millis = Millis(1_800);
/// The shortest outage in which a live server's registration may expire; registrations are kept for
/// three heartbeats.
pub const MIN_OUTAGE: Millis = Millis(1_000);
/// Consecutive failures after which a backend server is quarantined.
pub const QUARANTINE_FAILURES: u32 = 2;
/// The first quarantine period; it doubles with each further failure.
pub const MIN_QUARANTINE: Millis = Millis(1_000);
/// The longest quarantine period.
pub const MAX_QUARANTINE: Millis = Millis(8_000);
/// The longest pause that a backend server may ask for.
pub const MAX_PAUSE: Millis = Millis(60_000);
/// How long it is remembered that a server was leaving after its registration has gone: an older
/// copy of the list could show it again.
pub const LEAVING_MEMORY: Millis = Millis(60_000);
/// How long an entry tells its peers that a server has left the list: longer than an update and its
/// repetitions take to arrive.
pub const TELLING_SPAN: Millis = Millis(5_000);
/// How long a removal counts after a peer has told it for the last time: past the grace period after
/// an outage, in which this entry would keep the server, and the next check for expired ones.
pub const TOLD_MEMORY: Millis = Millis(2_500);
/// How long a limit holds after a server has named it for the last time, to whichever entry: those
/// without a share send nothing there and hear nothing of its end.
pub const LIMIT_MEMORY: Millis = Millis(60_000);
/// How long it is remembered that a server was removed, for the same reason.
pub const REMOVAL_MEMORY: Millis = Millis(60_000);
