//! Memory reserved at several engines for one prompt.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;

use super::engine_reservation::EngineReservation;
use super::gateway::Gateway;
use crate::direct::Dialect;
use crate::direct::Placement;
use crate::direct::Reservation;
use crate::direct::ReservationId;

/// The reservations for one prompt, which last until this is dropped.
#[derive(Debug)]
pub struct Reservations {
    ids: Vec<Option<ReservationId>>,
    is_used: Rc<Cell<bool>>,
    lost: Receiver<()>,
    /// Dropped to end the reservations; nothing is ever sent.
    _owner: Sender<Infallible>,
}

impl Reservations {
    /// Reserves memory at every helper that keeps a part of the prompt, at all of them at once. If
    /// one of them refuses, all are released.
    pub async fn take<D: Dialect>(
        gateway: &Rc<Gateway<D>>,
        name: &str,
        placement: &Placement,
    ) -> Option<Self> {
        let helpers = &placement.helpers;
        let (owner, ended) = flume::bounded(0);
        let (lost_tx, lost) = flume::bounded(1);
        let (taken_tx, taken) = flume::bounded(helpers.len());
        let is_used = Rc::new(Cell::new(false));
        let mut ids = Vec::new();
        for (number, helper) in helpers.iter().enumerate() {
            if helper.memory.get() == 0 {
                ids.push(None);
                continue;
            }
            let id: ReservationId = format!("{name}x{number}").parse().ok()?;
            ids.push(Some(id.clone()));
            let reservation = EngineReservation {
                gateway: gateway.clone(),
                server: helper.server.clone(),
                primary: placement.primary.id.clone(),
                reservation: Reservation {
                    id,
                    memory: helper.memory,
                    hold: gateway.settings.reservations.hold,
                },
                is_used: is_used.clone(),
                ended: ended.clone(),
                lost: lost_tx.clone(),
            };
            compio::runtime::spawn(reservation.run(taken_tx.clone())).detach();
        }
        let reservations = Self {
            ids,
            is_used,
            lost,
            _owner: owner,
        };
        drop(taken_tx);
        while let Ok(is_taken) = taken.recv_async().await {
            if !is_taken {
                return None;
            }
        }
        Some(reservations)
    }

    /// The reservation at each helper, if it has one.
    pub fn ids(&self) -> &[Option<ReservationId>] {
        &self.ids
    }

    /// Records that the request uses the memory from now on.
    pub fn mark_used(&self) {
        self.is_used.set(true);
    }

    /// Waits until memory of one engine can no longer serve the request.
    pub async fn lost(&self) {
        if self.lost.recv_async().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
