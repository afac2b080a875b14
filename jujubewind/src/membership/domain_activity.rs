//! When each failure domain last showed a sign of life, directly or through gossip.

use std::collections::BTreeMap;

use super::limits::DOMAIN_SILENCE_TIMEOUT;
use crate::rpc::message::DomainSummary;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::MonoTime;

/// The time of the last sign of life of each failure domain.
///
/// Entries gossip ages as durations and keep the smallest, so every entry detects the loss of a
/// whole failure domain without a message for each of its members.
#[derive(Clone, Debug, Default)]
pub(super) struct DomainActivity {
    last: BTreeMap<DomainId, MonoTime>,
}

impl DomainActivity {
    /// Records a sign of life of `domain` that is `age` old.
    pub(super) fn record(&mut self, now: MonoTime, domain: &DomainId, age: Millis) {
        let micros = now.micros().saturating_sub(age.get().saturating_mul(1_000));
        let seen = MonoTime::from_micros(micros);
        let last = self.last.entry(domain.clone()).or_insert(seen);
        *last = seen.max(*last);
    }

    /// Records the ages that another entry reports.
    pub(super) fn record_all(&mut self, now: MonoTime, pulses: &[DomainSummary]) {
        for pulse in pulses {
            self.record(now, &pulse.domain, pulse.age);
        }
    }

    /// Returns the time since the last sign of life of `domain`; zero if there was none.
    pub(super) fn age(&self, now: MonoTime, domain: &DomainId) -> Millis {
        self.last
            .get(domain)
            .map_or(Millis::ZERO, |last| now.since(*last))
    }

    /// Returns the failure domains that have been silent for [`DOMAIN_SILENCE_TIMEOUT`].
    pub(super) fn silent(&self, now: MonoTime) -> impl Iterator<Item = &DomainId> {
        self.last
            .iter()
            .filter(move |(_, last)| now.since(**last) > DOMAIN_SILENCE_TIMEOUT)
            .map(|(domain, _)| domain)
    }

    /// Resets every known domain to active now, after this process itself was paused.
    pub(super) fn reset(&mut self, now: MonoTime) {
        for last in self.last.values_mut() {
            *last = now;
        }
    }
}
