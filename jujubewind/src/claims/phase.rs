//! The phases of a claim and the steps between them, as the chart has them.

use std::sync::LazyLock;

use super::Error;
use super::Result;
use crate::chart::StateChart;

crate::label! {
    /// How far a claim has come.
    pub enum Phase {
        /// There is no claim.
        Free = "free",
        /// A holder has the key; nothing was sent.
        Claimed = "claimed",
        /// The call may have been sent.
        Dispatched = "dispatched",
        /// The service's answer is kept.
        Done = "done",
        /// The call was sent and its answer never came.
        Unknown = "unknown",
    }
}

crate::label! {
    /// What moves a claim from one phase to the next.
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
        /// The call was certainly not run.
        Release = "release",
        /// The time for which answers are kept has passed.
        Expire = "expire",
    }
}

static CHART: LazyLock<StateChart<Phase, Event>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../../charts/claim.yaml")).expect("the chart is tested")
});

impl Phase {
    /// The phase in which a key begins.
    #[must_use]
    pub fn initial() -> Self {
        CHART.initial()
    }

    /// The phase to which `event` leads.
    ///
    /// # Errors
    /// The chart has no such step.
    pub fn after(self, event: Event) -> Result<Self> {
        CHART.next(self, event).ok_or(Error::BadStep(self, event))
    }
}
