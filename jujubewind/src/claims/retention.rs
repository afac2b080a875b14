//! Retention of stored answers by store leases that expire old claims.

use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Outcome;
use crate::types::Millis;
use crate::types::MonoTime;

/// Shortest time for which the outcome of a key is stored; it covers a long weekend.
pub const RETENTION: Millis = Millis(72 * 3_600_000);

/// How long one lease is used for new claims.
const ROTATION_PERIOD: Millis = Millis(6 * 3_600_000);

/// Retry delay after the store granted no lease.
const RETRY_DELAY: Millis = Millis(2_000);

/// Maintains the store lease to which an entry attaches new claims; it is never renewed.
///
/// All claims of a few hours share one lease, so that expiring a claim costs no write of its own. A
/// lease whose grant was not answered expires unused.
#[derive(Debug, Default)]
pub struct Retention {
    current: Option<(LeaseId, MonoTime)>,
    next: MonoTime,
    requested_at: MonoTime,
}

impl Retention {
    /// Returns the lease for a new claim. Before the first grant there is none, and calls are
    /// refused.
    #[must_use]
    pub fn lease(&self, now: MonoTime) -> Option<LeaseId> {
        let fresh = |(_, end): &(LeaseId, MonoTime)| now < *end;
        self.current.filter(fresh).map(|(lease, _)| lease)
    }

    /// Returns when the next lease should be requested.
    #[must_use]
    pub const fn due(&self) -> MonoTime {
        self.next
    }

    /// Returns the operation that requests the next lease.
    pub fn request_lease(&mut self, now: MonoTime) -> Op {
        self.requested_at = now;
        self.next = now.after(RETRY_DELAY);
        Op::GrantLease(Millis(RETENTION.get() + 2 * ROTATION_PERIOD.get()))
    }

    /// Handles the store's answer to the request.
    pub fn settle(&mut self, outcome: &Outcome) {
        if let Outcome::Leased(lease, _) = outcome {
            self.current = Some((
                *lease,
                self.requested_at.after(Millis(2 * ROTATION_PERIOD.get())),
            ));
            self.next = self.requested_at.after(ROTATION_PERIOD);
        }
    }
}
