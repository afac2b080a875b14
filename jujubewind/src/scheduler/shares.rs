//! How much of the engine each organisation has had lately.

use std::collections::BTreeMap;

use super::Work;
use crate::types::MonoTime;
use crate::types::OrgId;

/// The time in which past use counts half.
const HALF_LIFE: Work = Work(30_000_000);

/// Use below this is forgotten.
const NEGLIGIBLE: Work = Work(1_000);

/// The most that an organisation's work counts for, in thousandths of its true amount.
const MOST_WEIGHT: u64 = 16_000;

/// Decaying use of one engine by organisation.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    used: BTreeMap<OrgId, Work>,
    halved: MonoTime,
}

impl Shares {
    /// Counts `work` for `org`.
    pub fn charge(&mut self, now: MonoTime, org: &OrgId, work: Work) {
        self.decay(now);
        let used = self.used.entry(org.clone()).or_default();
        *used = used.saturating_add(work);
    }

    /// How heavily work of `org` counts when it is ranked, in thousandths: 1,000 up to its equal
    /// share, then in proportion to its excess.
    #[must_use]
    pub fn weight(&self, org: &OrgId) -> u64 {
        let total: Work = self.used.values().copied().sum();
        let own = self.used.get(org).copied().unwrap_or_default();
        if total == Work::ZERO {
            return 1_000;
        }
        let count = self.used.len() as u64;
        let excess = own.get().saturating_mul(count).saturating_mul(1_000) / total.get();
        excess.clamp(1_000, MOST_WEIGHT)
    }

    fn decay(&mut self, now: MonoTime) {
        while Work::between(self.halved, now) >= HALF_LIFE {
            if self.used.is_empty() {
                self.halved = now;
                return;
            }
            self.halved = MonoTime::from_micros(self.halved.micros() + HALF_LIFE.get());
            self.used
                .values_mut()
                .for_each(|used| *used = Work(used.get() / 2));
            self.used.retain(|_, used| *used >= NEGLIGIBLE);
        }
    }
}
