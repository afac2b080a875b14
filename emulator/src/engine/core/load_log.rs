//! Samples of the engine's load, published with a delay.

use std::collections::VecDeque;

use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::wire::engine::EngineLoad;

/// The time between samples.
const SAMPLE_INTERVAL: Millis = Millis(100);
/// The most samples kept.
const MAX_SAMPLES: usize = 600;

/// Samples of the load, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadLog {
    samples: VecDeque<(MonoTime, EngineLoad)>,
}

impl LoadLog {
    /// Returns whether a sample is due.
    pub(crate) fn is_due(&self, now: MonoTime) -> bool {
        self.samples
            .back()
            .is_none_or(|(at, _)| at.after(SAMPLE_INTERVAL) <= now)
    }

    /// Adds a sample.
    pub(crate) fn record(&mut self, now: MonoTime, load: EngineLoad) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, load));
    }

    /// Returns the newest sample that is at least `lag` old, or the oldest one if all are younger.
    pub(crate) fn read(&self, now: MonoTime, lag: Millis) -> Option<EngineLoad> {
        let is_old = |sample: &&(MonoTime, EngineLoad)| sample.0.after(lag) <= now;
        let found = self.samples.iter().rev().find(is_old);
        let (at, load) = found.or(self.samples.front())?;
        let mut load = load.clone();
        load.age_ms = now.since(*at).get();
        Some(load)
    }
}
