//! Memory set aside at several engines for one prompt.

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
use super::limits::ORDER_TIME;
use super::limits::RELEASES;
use super::limits::RESERVATION_RENEW_INTERVAL;
use super::limits::RESERVATION_TTL;
use crate::direct::Dialect;
use crate::direct::Helper;
use crate::direct::Reservation;
use crate::direct::ReservationId;
use crate::direct::Server;

/// One engine's part.
#[derive(Clone, Debug)]
struct Held {
    server: Rc<Server>,
    reservation: Reservation,
}

/// All parts of one prompt, renewed until dropped and then given back.
#[derive(Debug)]
pub struct Reservations {
    ids: Vec<Option<ReservationId>>,
    _task: JoinHandle<()>,
}

/// Gives the parts back when it is dropped.
struct Release<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    held: Vec<Held>,
}

impl Reservations {
    /// Sets memory aside at every helper that should keep some, one after the other; none at all if one of
    /// them refuses.
    pub async fn take<D: Dialect>(
        gateway: &Rc<Gateway<D>>,
        name: &str,
        helpers: &[Helper],
    ) -> Option<Self> {
        let mut release = Release {
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
            let held = Held {
                server: helper.server.clone(),
                reservation,
            };
            // An order without an answer may have been carried out: it is given back as well.
            release.held.push(held.clone());
            if !held.reserve(gateway).await {
                return None;
            }
        }
        let task = compio::runtime::spawn(release.renew());
        Some(Self { ids, _task: task })
    }

    /// The ticket at each helper.
    pub fn ids(&self) -> &[Option<ReservationId>] {
        &self.ids
    }
}

impl<D: Dialect> Release<D> {
    async fn renew(self) {
        loop {
            compio::time::sleep(RESERVATION_RENEW_INTERVAL.duration()).await;
            for held in &self.held {
                held.reserve(&self.gateway).await;
            }
        }
    }
}

impl<D: Dialect> Drop for Release<D> {
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

impl Held {
    async fn reserve<D: Dialect>(&self, gateway: &Gateway<D>) -> bool {
        let order = gateway.dialect.reserve(&self.reservation);
        let status = self.order(gateway, order).await;
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
        for _ in 0..RELEASES {
            let order = gateway.dialect.release(&self.reservation.id);
            if self.order(gateway, order).await.is_some() {
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

    /// Sends an order; the status of its answer, if one came.
    async fn order<D: Dialect>(
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
        let sent = compio::time::timeout(ORDER_TIME.duration(), sending).await;
        sent.unwrap_or(None)
    }
}
