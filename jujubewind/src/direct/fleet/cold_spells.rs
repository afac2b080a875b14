//! Which backend servers are cold.

use std::collections::BTreeMap;

use super::Server;
use super::ServerId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;

/// The time for which an incarnation is cold.
#[derive(Clone, Copy, Debug)]
struct Spell {
    started: Option<Incarnation>,
    end: MonoTime,
}

/// The backend servers that are cold: they have started lately, or were without requests, and endure
/// few for some seconds.
#[derive(Clone, Debug, Default)]
pub struct ColdSpells {
    spells: BTreeMap<ServerId, Spell>,
}

impl ColdSpells {
    /// Records that a server is cold for `left`, or warm if that is zero; returns whether it turned
    /// cold or warm.
    pub fn record(&mut self, now: MonoTime, server: &Server, left: Millis) -> bool {
        let was_cold = self.is_cold(now, server);
        if left == Millis::ZERO {
            self.spells.remove(&server.id);
            return was_cold;
        }
        let spell = Spell {
            started: server.started,
            end: now.after(left),
        };
        self.spells.insert(server.id.clone(), spell);
        !was_cold
    }

    /// Whether a server is cold.
    #[must_use]
    pub fn is_cold(&self, now: MonoTime, server: &Server) -> bool {
        let spell = self.spells.get(&server.id);
        spell.is_some_and(|spell| spell.started == server.started && now < spell.end)
    }

    /// The number of cold servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.spells.len()
    }

    /// Whether no server is cold.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.spells.is_empty()
    }

    /// Drops the spells that have ended; returns their servers.
    pub fn expire(&mut self, now: MonoTime) -> Vec<ServerId> {
        let ended = self.spells.iter().filter(|(_, spell)| now >= spell.end);
        let ended: Vec<ServerId> = ended.map(|(server, _)| server.clone()).collect();
        self.spells.retain(|_, spell| now < spell.end);
        ended
    }
}
