//! A backend server with its load, as a place for a request.

use std::rc::Rc;

use super::limits::CALM_ROOM;
use super::limits::EMPTY_SLOT;
use super::limits::LAST_SLOT;
use super::limits::PAUSE_SHARE;
use super::limits::SLOT_RESERVE;
use crate::direct::Engine;
use crate::direct::Server;
use crate::direct::ServerLoad;
use crate::scheduler::Work;
use crate::types::Millis;
use crate::types::Tokens;

/// A backend server that may take a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The server.
    pub server: Rc<Server>,
    /// Its load.
    pub load: ServerLoad,
}

impl Candidate {
    /// The length of a pass in which nothing is read.
    #[must_use]
    pub fn pass(&self, engine: &Engine) -> Work {
        engine.pass_time(self.load.leads, self.load.memory)
    }

    /// What can be read there more before a pause grows too long for someone who writes there.
    #[must_use]
    pub fn room(&self, engine: &Engine) -> Work {
        let bears = match self.load.max_gap {
            Some(pause) => Work::from_millis(pause).scaled(PAUSE_SHARE),
            None => Work::from_millis(CALM_ROOM),
        };
        bears
            .saturating_sub(self.pass(engine))
            .saturating_sub(self.load.backlog)
    }

    /// Whether it has a batch slot for a request that writes there.
    #[must_use]
    pub fn has_slot(&self, engine: &Engine) -> bool {
        self.load.leads < engine.slots
    }

    /// What a short stream costs there by its place in the batch.
    ///
    /// Short streams fill one engine after the other, so that long prompts find engines where nobody bears only
    /// short pauses. The last slots of each are taken only while others have no better.
    #[must_use]
    pub fn packing(&self, engine: &Engine) -> Work {
        let target = engine.slots - engine.slots.div_ceil(SLOT_RESERVE);
        let each = if self.load.leads < target {
            EMPTY_SLOT
        } else {
            LAST_SLOT
        };
        let apart = u64::from(target.abs_diff(self.load.leads));
        Work(Work::from_millis(each).get().saturating_mul(apart))
    }

    /// Memory that nobody holds.
    #[must_use]
    pub fn free(&self, engine: &Engine) -> Tokens {
        engine.memory.saturating_sub(self.load.memory)
    }

    /// Whether someone writes there who bears only short pauses.
    #[must_use]
    pub fn is_tight(&self, pause: Millis) -> bool {
        self.load.max_gap.is_some_and(|shortest| shortest <= pause)
    }
}
