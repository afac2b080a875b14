//! When each failure domain was last heard of, directly or through others.

use std::collections::BTreeMap;

use super::limits::DOMAIN_SILENCE;
use crate::rpc::message::Pulse;
use crate::types::DomainId;
use crate::types::Millis;
use crate::types::MonoTime;

/// The last sign of life of each failure domain.
///
/// Ages travel as durations and the youngest holds, so the loss of a whole failure domain is seen
/// by all without a message for each of its members.
#[derive(Clone, Debug, Default)]
pub(super) struct Pulses {
    last: BTreeMap<DomainId, MonoTime>,
}

impl Pulses {
    /// Notes a sign of life of `domain` that is `age` old.
    pub(super) fn note(&mut self, now: MonoTime, domain: &DomainId, age: Millis) {
        let micros = now.micros().saturating_sub(age.get().saturating_mul(1_000));
        let seen = MonoTime::from_micros(micros);
        let last = self.last.entry(domain.clone()).or_insert(seen);
        *last = seen.max(*last);
    }

    /// Notes what another entry knows.
    pub(super) fn note_all(&mut self, now: MonoTime, pulses: &[Pulse]) {
        for pulse in pulses {
            self.note(now, &pulse.domain, pulse.age);
        }
    }

    /// How long ago `domain` gave a sign of life; zero if it was never heard of.
    pub(super) fn age(&self, now: MonoTime, domain: &DomainId) -> Millis {
        self.last
            .get(domain)
            .map_or(Millis::ZERO, |last| now.since(*last))
    }

    /// The failure domains that are silent.
    pub(super) fn silent(&self, now: MonoTime) -> impl Iterator<Item = &DomainId> {
        self.last
            .iter()
            .filter(move |(_, last)| now.since(**last) > DOMAIN_SILENCE)
            .map(|(domain, _)| domain)
    }

    /// Treats every known domain as heard of now, after this process itself was paused.
    pub(super) fn reset(&mut self, now: MonoTime) {
        for last in self.last.values_mut() {
            *last = now;
        }
    }
}
