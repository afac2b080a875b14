//! Counts what each role sends and receives.

use jujubewind::rpc::message::Gossip;

use super::wire;

/// The traffic of one daemon a second, sent and received together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Messages.
    pub messages: f64,
    /// Bytes.
    pub bytes: f64,
}

/// The traffic of all entries and of all agents.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    entries: usize,
    entry: Traffic,
    agent: Traffic,
}

impl Meter {
    /// Starts counting; the first `entries` processes are entries.
    pub fn new(entries: usize) -> Self {
        Self {
            entries,
            entry: Traffic::default(),
            agent: Traffic::default(),
        }
    }

    /// Counts one message at both ends.
    pub fn count(&mut self, from: usize, to: usize, news: &Gossip) {
        let bytes = f64::from(u32::try_from(wire::length(news)).unwrap_or(u32::MAX));
        for end in [from, to] {
            let traffic = if end < self.entries {
                &mut self.entry
            } else {
                &mut self.agent
            };
            traffic.messages += 1.0;
            traffic.bytes += bytes;
        }
    }

    /// The traffic of one entry and of one agent a second.
    pub fn rates(&self, entries: f64, agents: f64, seconds: f64) -> (Traffic, Traffic) {
        let rate = |traffic: Traffic, count: f64| Traffic {
            messages: traffic.messages / count / seconds,
            bytes: traffic.bytes / count / seconds,
        };
        (rate(self.entry, entries), rate(self.agent, agents))
    }
}
