//! The task that keeps the memory reserved at one engine.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;

use flume::Receiver;
use flume::Sender;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::header::HOST;
use hyper::header::HeaderValue;

use super::gateway::Gateway;
use super::limits::DEPARTURE_CHECK_PERIOD;
use super::limits::MAX_ORDER_RESPONSE_BYTES;
use super::limits::ORDER_TIMEOUT;
use crate::direct::BootTime;
use crate::direct::Dialect;
use crate::direct::MemoryHold;
use crate::direct::Message;
use crate::direct::Order;
use crate::direct::OrderReply;
use crate::direct::Purpose;
use crate::direct::Reservation;
use crate::direct::SendFault;
use crate::direct::Server;
use crate::direct::ServerId;
use crate::direct::Step;
use crate::pace::NamedLimit;
use crate::types::Millis;

/// The memory reserved at one engine.
pub struct EngineReservation<D> {
    pub(super) gateway: Rc<Gateway<D>>,
    pub(super) server: Rc<Server>,
    /// The engine that the request is sent to.
    pub(super) primary: ServerId,
    pub(super) reservation: Reservation,
    /// Whether the request has begun to use the memory.
    pub(super) is_used: Rc<Cell<bool>>,
    /// Disconnected once the request needs the memory no longer.
    pub(super) ended: Receiver<Infallible>,
    /// Tells the request that the memory can no longer serve it.
    pub(super) lost: Sender<()>,
}

impl<D: Dialect> EngineReservation<D> {
    /// Reserves the memory, reports the result to `taken`, and keeps the reservation until no order
    /// can set memory aside any more.
    pub async fn run(self, taken: Sender<bool>) {
        let started = BootTime::now();
        let mut hold = MemoryHold::new(started, self.gateway.settings.reservations);
        let mut taken = Some(taken);
        loop {
            if self.ended.is_disconnected() {
                hold.end(BootTime::now());
            }
            if self.is_used.get() {
                hold.mark_used();
            } else if hold.is_held() && self.gateway.has_departed(started, &self.primary) {
                self.give_up().await;
                continue;
            }
            match hold.step(BootTime::now()) {
                Step::Send(order) => {
                    let sent = BootTime::now();
                    let reply = self.send(order).await;
                    hold.record(BootTime::now(), sent, order, reply);
                    if let Some(taken) = taken.take() {
                        let _ = taken.send(hold.is_held());
                    }
                }
                Step::Sleep(delay) => self.sleep(delay).await,
                Step::Lost => self.give_up().await,
                Step::Ended => break,
            }
        }
        if !self.ended.is_disconnected() {
            self.give_up().await;
        }
    }

    /// Waits for the end of the request or of `delay`.
    async fn sleep(&self, delay: Millis) {
        let delay = delay.duration();
        if self.ended.is_disconnected() {
            return compio::time::sleep(delay).await;
        }
        let delay = delay.min(DEPARTURE_CHECK_PERIOD.duration());
        let _ = compio::time::timeout(delay, self.ended.recv_async()).await;
    }

    /// Tells the request that the memory is lost and waits until it has ended.
    async fn give_up(&self) {
        crate::event!(
            warn,
            "reserved_memory_lost",
            server = self.server.id,
            ticket = self.reservation.id,
            used = self.is_used.get(),
        );
        let _ = self.lost.try_send(());
        let _ = self.ended.recv_async().await;
    }

    async fn send(&self, order: Order) -> OrderReply {
        let sending = self.exchange(order);
        let sent = compio::time::timeout(ORDER_TIMEOUT.duration(), sending).await;
        let reply = sent.unwrap_or(OrderReply::Missing);
        if reply != OrderReply::Done {
            crate::event!(
                warn,
                "memory_order_failed",
                server = self.server.id,
                ticket = self.reservation.id,
                memory = self.reservation.memory,
                order = order,
                reply = reply,
            );
        }
        reply
    }

    async fn exchange(&self, order: Order) -> OrderReply {
        if self.gateway.is_paused(&self.server) {
            return OrderReply::Refused;
        }
        let dialect = &self.gateway.dialect;
        let mut request = match order {
            Order::Reserve => dialect.reserve(&self.server.id, &self.reservation),
            Order::Release => dialect.release(&self.server.id, &self.reservation.id),
        };
        let Ok(host) = HeaderValue::try_from(self.server.addr.to_string()) else {
            return OrderReply::Refused;
        };
        request.headers_mut().insert(HOST, host);
        let pool = &self.gateway.pool;
        let Ok(mut connection) = pool.connect(&self.server, Purpose::Order).await else {
            return OrderReply::Refused;
        };
        let server = self.server.id.clone();
        self.gateway.control.send(Message::OrderSent(server));
        let response = match connection.send(request, ORDER_TIMEOUT).await {
            Ok(response) => response,
            Err(SendFault::Unsent(_)) => return OrderReply::Refused,
            Err(SendFault::Lost(_)) => return OrderReply::Missing,
        };
        let status = response.status();
        let head = dialect.parse_response(status, response.headers());
        let mut notice = dialect.parse_notice(status, response.headers());
        if head.id.is_some() {
            notice.limit = NamedLimit::Absent;
        }
        self.gateway.note(&self.server, notice, None);
        if head.id.is_some() {
            // A late copy of the response to an earlier request on this connection.
            return OrderReply::Missing;
        }
        let reply = dialect.parse_order_reply(order, status);
        let body = Limited::new(response.into_body(), MAX_ORDER_RESPONSE_BYTES);
        if body.collect().await.is_ok() {
            connection.give_back();
        }
        reply
    }
}
