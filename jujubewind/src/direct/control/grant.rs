//! A request's stay at a backend server.

use std::cell::Cell;

use super::Control;
use super::Message;
use super::Outcome;
use crate::conviction::Fingerprint;
use crate::direct::JobId;
use crate::direct::Placement;
use crate::direct::api::Reservations;

/// The right to send one request to its placement; dropping it ends the stay.
#[derive(Debug)]
pub struct Grant {
    control: Control,
    /// Where the request goes.
    pub placement: Placement,
    job: JobId,
    print: Fingerprint,
    outcome: Cell<Outcome>,
    read: Cell<bool>,
    reservations: Option<Reservations>,
}

impl Grant {
    pub(super) fn new(
        control: Control,
        placement: Placement,
        job: JobId,
        print: Fingerprint,
    ) -> Self {
        Self {
            control,
            placement,
            job,
            print,
            outcome: Cell::new(Outcome::Abandoned),
            read: Cell::new(false),
            reservations: None,
        }
    }

    /// Notes that the first token came; says whether this is news.
    pub fn mark_prefilled(&self) -> bool {
        let news = !self.read.replace(true);
        if news {
            self.control.send(Message::Prefilled(self.job));
        }
        news
    }

    /// Keeps memory set aside for as long as the stay lasts.
    pub(in crate::direct) fn attach(&mut self, reservations: Reservations) {
        self.reservations = Some(reservations);
    }

    /// The memory set aside for the stay.
    pub(in crate::direct) const fn reservations(&self) -> Option<&Reservations> {
        self.reservations.as_ref()
    }

    /// Ends the stay.
    pub fn finish(self, outcome: Outcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.control.send(Message::Finished {
            job: self.job,
            server: self.placement.primary.id.clone(),
            print: self.print,
            outcome: self.outcome.get(),
        });
    }
}
