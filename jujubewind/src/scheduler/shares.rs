//! Recent use of the engine by organisation, for fair sharing.

use std::collections::BTreeMap;

use super::Work;
use crate::types::MonoTime;
use crate::types::OrgId;

/// The half-life of past use.
const HALF_LIFE: Work = Work(30_000_000);

/// Use below this is dropped.
const MIN_USE: Work = Work(1_000);

/// The highest weight of an organisation, in thousandths.
const MAX_WEIGHT_PERMILLE: u64 = 16_000;

/// Exponentially decayed use of one engine by organisation.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    used: BTreeMap<OrgId, Work>,
    last_decay: MonoTime,
}

impl Shares {
    /// Charges `work` to `org`.
    pub fn charge(&mut self, now: MonoTime, org: &OrgId, work: Work) {
        self.decay(now);
        let used = self.used.entry(org.clone()).or_default();
        *used = used.saturating_add(work);
    }

    /// The weight of `org` in ranking, in thousandths: 1,000 up to its equal share, then in
    /// proportion to its excess.
    #[must_use]
    pub fn weight(&self, org: &OrgId) -> u64 {
        let total: Work = self.used.values().copied().sum();
        let own = self.used.get(org).copied().unwrap_or_default();
        if total == Work::ZERO {
            return 1_000;
        }
        let count = self.used.len() as u64;
        let excess = own.get().saturating_mul(count).saturating_mul(1_000) / total.get();
        excess.clamp(1_000, MAX_WEIGHT_PERMILLE)
    }

    fn decay(&mut self, now: MonoTime) {
        while Work::between(self.last_decay, now) >= HALF_LIFE {
            if self.used.is_empty() {
                self.last_decay = now;
                return;
            }
            self.last_decay = MonoTime::from_micros(self.last_decay.micros() + HALF_LIFE.get());
            self.used
                .values_mut()
                .for_each(|used| *used = Work(used.get() / 2));
            self.used.retain(|_, used| *used >= MIN_USE);
        }
    }
}
