//! A backend server considered for a request.

use std::rc::Rc;

use super::limits::EMPTY_SLOT_COST;
use super::limits::GAP_PERMILLE;
use super::limits::IDLE_PREFILL_ROOM;
use super::limits::RESERVED_SLOT_COST;
use super::limits::RESERVED_SLOT_DIVISOR;
use crate::direct::Engine;
use crate::direct::Server;
use crate::direct::ServerLoad;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::Tokens;

/// A backend server and its load.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The server.
    pub server: Rc<Server>,
    /// Its load.
    pub load: ServerLoad,
    /// Whether it has asked a peer for a pause.
    pub strained: bool,
    /// Whether it may prefill a part of another engine's prompt.
    pub may_help: bool,
    /// The cost of choosing a server that others prefer.
    pub spread: Work,
}

impl Candidate {
    /// The duration of a pass without prefill.
    #[must_use]
    pub fn pass(&self, engine: &Engine) -> Work {
        engine.pass_time(self.load.requests, self.load.memory)
    }

    /// The prefill work that can be added before a decoding request exceeds its `max_gap`.
    #[must_use]
    pub fn room(&self, engine: &Engine) -> Work {
        let max_pass = match self.load.max_gap {
            Some(max_gap) => Work::from_millis(max_gap).scaled(GAP_PERMILLE),
            None => Work::from_millis(IDLE_PREFILL_ROOM),
        };
        max_pass
            .saturating_sub(self.pass(engine))
            .saturating_sub(self.load.backlog)
    }

    /// Whether a batch slot is free for a request to decode in.
    #[must_use]
    pub fn has_slot(&self, engine: &Engine) -> bool {
        self.load.requests < engine.slots
    }

    /// The cost of placing a latency-sensitive stream there, by the number of used slots.
    ///
    /// Such streams are packed onto few engines, so that long prompts find engines without
    /// latency-sensitive requests. The last slots of each engine are reserved and cost more.
    #[must_use]
    pub fn packing(&self, engine: &Engine) -> Work {
        let target = engine.slots - engine.slots.div_ceil(RESERVED_SLOT_DIVISOR);
        let slot_cost = if self.load.requests < target {
            EMPTY_SLOT_COST
        } else {
            RESERVED_SLOT_COST
        };
        let distance = u64::from(target.abs_diff(self.load.requests));
        Work(Work::from_millis(slot_cost).get().saturating_mul(distance))
    }

    /// Unoccupied memory.
    #[must_use]
    pub fn free_memory(&self, engine: &Engine) -> Tokens {
        engine.memory.saturating_sub(self.load.memory)
    }

    /// Whether a request there has a `max_gap` of at most `limit`.
    #[must_use]
    pub fn is_latency_sensitive(&self, limit: Millis) -> bool {
        self.load
            .max_gap
            .is_some_and(|strictest| strictest <= limit)
    }
}
