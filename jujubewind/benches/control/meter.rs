//! Counts the messages and bytes that each role sends and receives.

use jujubewind::rpc::message::Gossip;

use super::wire;

/// Sent and received traffic.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// The number of messages.
    pub messages: f64,
    /// The number of bytes.
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
    /// Creates a meter for a fleet whose first `entries` processes are entries.
    pub fn new(entries: usize) -> Self {
        Self {
            entries,
            entry: Traffic::default(),
            agent: Traffic::default(),
        }
    }

    /// Counts a message for its sender and its receiver.
    pub fn count(&mut self, from: usize, to: usize, gossip: &Gossip) {
        let bytes = f64::from(u32::try_from(wire::length(gossip)).unwrap_or(u32::MAX));
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

    /// Returns the mean traffic per second of one entry and of one agent.
    pub fn rates(&self, entries: f64, agents: f64, seconds: f64) -> (Traffic, Traffic) {
        let rate = |traffic: Traffic, count: f64| Traffic {
            messages: traffic.messages / count / seconds,
            bytes: traffic.bytes / count / seconds,
        };
        (rate(self.entry, entries), rate(self.agent, agents))
    }
}
