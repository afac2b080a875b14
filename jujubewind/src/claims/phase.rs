//! The phases of a claim and the transitions between them, as defined by the state chart.

use std::sync::LazyLock;

use super::Error;
use super::Result;
use crate::chart::StateChart;

crate::label! {
    /// The phase of a claim.
    pub enum Phase {
        /// There is no claim.
        Free = "free",
        /// A holder has claimed the key; nothing was sent.
        Claimed = "claimed",
        /// The call may have been sent.
        Dispatched = "dispatched",
        /// The service's answer is stored.
        Done = "done",
        /// The call was sent and no answer came.
        Unknown = "unknown",
    }
}

crate::label! {
    /// The events that change the phase of a claim.
    pub enum Event {
        /// The first caller claims the key.
        Create = "create",
        /// A later caller takes the key from a holder that sent nothing.
        TakeOver = "take_over",
        /// The holder is about to send.
        Mark = "mark",
        /// The service answered.
        Answer = "answer",
        /// No answer came.
        Doubt = "doubt",
        /// The call is known not to have run.
        Release = "release",
        /// The retention time has passed.
        Expire = "expire",
    }
}

static CHART: LazyLock<StateChart<Phase, Event>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../../charts/claim.yaml")).expect("the chart is tested")
});

impl Phase {
    /// Returns the initial phase of a key.
    #[must_use]
    pub fn initial() -> Self {
        CHART.initial()
    }

    /// Returns the phase that follows `event`.
    ///
    /// # Errors
    /// Fails if the state chart has no such transition.
    pub fn after(self, event: Event) -> Result<Self> {
        CHART.next(self, event).ok_or(Error::BadStep(self, event))
    }
}
