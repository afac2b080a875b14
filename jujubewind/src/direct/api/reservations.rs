//! Memory reserved at several engines for one prompt.

use std::rc::Rc;

use compio::runtime::JoinHandle;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::header::HeaderValue;

use super::gateway::Gateway;
use super::limits::ORDER_TIMEOUT;
use super::limits::RELEASE_ATTEMPTS;
use super::limits::RESERVATION_RENEW_INTERVAL;
use super::limits::RESERVATION_TTL;
use crate::direct::Dialect;
use crate::direct::Helper;
use crate::direct::Reservation;
use crate::direct::ReservationId;
use crate::direct::Server;

/// The memory reserved at one engine.
#[derive(Clone, Debug)]
struct EngineReservation {
    server: Rc<Server>,
    reservation: Reservation,
}

/// The reservations for one prompt, renewed until dropped and then released.
#[derive(Debug)]
pub struct Reservations {
    ids: Vec<Option<ReservationId>>,
    _task: JoinHandle<()>,
}

/// Releases the reservations when it is dropped.
struct ReleaseGuard<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    held: Vec<EngineReservation>,
}

impl Reservations {
    /// Reserves memory at every helper that keeps a part of the prompt, one after the other. If one
    /// of them refuses, all are released.
    pub async fn take<D: Dialect>(
        gateway: &Rc<Gateway<D>>,
        name: &str,
        helpers: &[Helper],
    ) -> Option<Self> {
        let mut guard = ReleaseGuard {
            gateway: gateway.clone(),
            held: Vec::new(),
        };
        let mut ids = Vec::new();
        for (number, helper) in helpers.iter().enumerate() {
            if helper.memory.get() == 0 {
                ids.push(None);
                continue;
            }
            let id: ReservationId = format!("{name}x{number}").parse().ok()?;
            ids.push(Some(id.clone()));
            let reservation = Reservation {
                id,
                memory: helper.memory,
                hold: RESERVATION_TTL,
            };
            let held = EngineReservation {
                server: helper.server.clone(),
                reservation,
            };
            // A reservation without an answer may have taken effect, so it is released as well.
            guard.held.push(held.clone());
            if !held.reserve(gateway).await {
                return None;
            }
        }
        let task = compio::runtime::spawn(guard.renew());
        Some(Self { ids, _task: task })
    }

    /// The reservation at each helper, if it has one.
    pub fn ids(&self) -> &[Option<ReservationId>] {
        &self.ids
    }
}

impl<D: Dialect> ReleaseGuard<D> {
    async fn renew(self) {
        loop {
            compio::time::sleep(RESERVATION_RENEW_INTERVAL.duration()).await;
            for held in &self.held {
                held.reserve(&self.gateway).await;
            }
        }
    }
}

impl<D: Dialect> Drop for ReleaseGuard<D> {
    fn drop(&mut self) {
        let gateway = self.gateway.clone();
        let held = std::mem::take(&mut self.held);
        compio::runtime::spawn(async move {
            for held in held {
                held.release(&gateway).await;
            }
        })
        .detach();
    }
}

impl EngineReservation {
    async fn reserve<D: Dialect>(&self, gateway: &Gateway<D>) -> bool {
        let order = gateway.dialect.reserve(&self.reservation);
        let status = self.send_order(gateway, order).await;
        if status != Some(StatusCode::OK) {
            crate::event!(
                warn,
                "memory_not_set_aside",
                server = self.server.id,
                ticket = self.reservation.id,
                memory = self.reservation.memory,
                status = status.map_or(0, |status| status.as_u16()),
            );
        }
        status == Some(StatusCode::OK)
    }

    async fn release<D: Dialect>(&self, gateway: &Gateway<D>) {
        for _ in 0..RELEASE_ATTEMPTS {
            let order = gateway.dialect.release(&self.reservation.id);
            if self.send_order(gateway, order).await.is_some() {
                return;
            }
        }
        crate::event!(
            warn,
            "memory_not_released",
            server = self.server.id,
            ticket = self.reservation.id
        );
    }

    /// Sends an order to the engine; returns the status of the answer, if one came.
    async fn send_order<D: Dialect>(
        &self,
        gateway: &Gateway<D>,
        mut order: Request<Full<Bytes>>,
    ) -> Option<StatusCode> {
        let host = HeaderValue::try_from(self.server.addr.to_string()).ok()?;
        order.headers_mut().insert(HOST, host);
        let sending = async {
            let mut connection = gateway.pool.connect(&self.server, false).await.ok()?;
            let response = connection.send(order).await.ok()?;
            let status = response.status();
            response.into_body().collect().await.ok()?;
            connection.give_back();
            Some(status)
        };
        let sent = compio::time::timeout(ORDER_TIMEOUT.duration(), sending).await;
        sent.unwrap_or(None)
    }
}
