//! How long answers are kept: the store's leases that end old claims.

use crate::store::LeaseId;
use crate::store::Op;
use crate::store::Outcome;
use crate::types::Millis;
use crate::types::MonoTime;

/// The shortest time for which a key's answer or doubt is kept: a long weekend.
pub const RETENTION: Millis = Millis(72 * 3_600_000);

/// How long one lease is given to new claims.
const ROTATION: Millis = Millis(6 * 3_600_000);

/// The pause after the store gave no lease.
const PAUSE: Millis = Millis(2_000);

/// Keeps a lease of the store at hand to which an entry's claims are bound; nobody renews it.
///
/// One lease serves all claims of some hours, so that a claim costs no write of its own for its
/// end. A lease that was granted without our hearing of it ends unused.
#[derive(Debug, Default)]
pub struct Retention {
    current: Option<(LeaseId, MonoTime)>,
    next: MonoTime,
    asked: MonoTime,
}

impl Retention {
    /// The lease for a new claim; none before the first was granted, and then no call is taken.
    #[must_use]
    pub fn lease(&self, now: MonoTime) -> Option<LeaseId> {
        let fresh = |(_, end): &(LeaseId, MonoTime)| now < *end;
        self.current.filter(fresh).map(|(lease, _)| lease)
    }

    /// When the next lease should be asked for.
    #[must_use]
    pub const fn due(&self) -> MonoTime {
        self.next
    }

    /// Asks for the next lease.
    pub fn request_lease(&mut self, now: MonoTime) -> Op {
        self.asked = now;
        self.next = now.after(PAUSE);
        Op::GrantLease(Millis(RETENTION.get() + 2 * ROTATION.get()))
    }

    /// Takes the store's answer.
    pub fn settle(&mut self, outcome: &Outcome) {
        if let Outcome::Leased(lease, _) = outcome {
            self.current = Some((*lease, self.asked.after(Millis(2 * ROTATION.get()))));
            self.next = self.asked.after(ROTATION);
        }
    }
}
