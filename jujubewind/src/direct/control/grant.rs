//! Permission to send a request to its placement.

use std::cell::Cell;

use futures::future::Either;
use futures::future::select;

use super::Control;
use super::Message;
use super::Outcome;
use crate::conviction::Prints;
use crate::direct::JobId;
use crate::direct::Placement;
use crate::direct::api::Reservations;
use crate::types::MonoTime;

/// Permission to send one request to its placement; dropping it releases the servers' capacity.
#[derive(Debug)]
pub struct Grant {
    control: Control,
    /// Where the request goes.
    pub placement: Placement,
    job: JobId,
    prints: Prints,
    outcome: Cell<Outcome>,
    /// When the request was sent.
    sent: Cell<Option<MonoTime>>,
    prefilled: Cell<bool>,
    has_progressed: Cell<bool>,
    reservations: Option<Reservations>,
}

impl Grant {
    pub(super) fn new(control: Control, placement: Placement, job: JobId, prints: Prints) -> Self {
        Self {
            control,
            placement,
            job,
            prints,
            outcome: Cell::new(Outcome::Abandoned),
            sent: Cell::new(None),
            prefilled: Cell::new(false),
            has_progressed: Cell::new(false),
            reservations: None,
        }
    }

    /// Records that the request is sent.
    pub fn mark_sent(&self, now: MonoTime) {
        self.sent.set(Some(now));
    }

    /// When the request was sent.
    #[must_use]
    pub const fn sent(&self) -> Option<MonoTime> {
        self.sent.get()
    }

    /// Records that the first token arrived; returns whether it is the first call.
    pub fn mark_prefilled(&self) -> bool {
        let is_first = !self.prefilled.replace(true);
        if is_first {
            self.control.send(Message::Prefilled(self.job));
            if let Some(reservations) = &self.reservations {
                reservations.mark_used();
            }
        }
        is_first
    }

    /// Records that the answer went on past its beginning.
    pub fn mark_progressed(&self) {
        if !self.has_progressed.replace(true) {
            self.control.send(Message::Progressed {
                job: self.job,
                prints: self.prints.clone(),
            });
        }
    }

    /// Whether the answer went on past its beginning.
    #[must_use]
    pub const fn has_progressed(&self) -> bool {
        self.has_progressed.get()
    }

    /// Holds memory reservations on the helpers until the request ends.
    pub(in crate::direct) fn attach(&mut self, reservations: Reservations) {
        self.reservations = Some(reservations);
    }

    /// The attached memory reservations.
    pub(in crate::direct) const fn reservations(&self) -> Option<&Reservations> {
        self.reservations.as_ref()
    }

    /// Runs `work`; `None` if reserved memory could no longer serve the request before its end.
    pub(in crate::direct) async fn while_held<F: Future>(&self, work: F) -> Option<F::Output> {
        let Some(reservations) = &self.reservations else {
            return Some(work.await);
        };
        let lost = std::pin::pin!(reservations.lost());
        match select(std::pin::pin!(work), lost).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }

    /// Releases the servers and reports the outcome.
    pub fn finish(self, outcome: Outcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.control.send(Message::Finished {
            job: self.job,
            server: self.placement.primary.id.clone(),
            prints: self.prints.clone(),
            outcome: self.outcome.get(),
        });
    }
}
