//! A pool of idle connections by backend server.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::client::conn::http1::Builder;
use hyper::client::conn::http1::SendRequest;

use super::Connection;
use super::Purpose;
use super::SendFault;
use super::ack_limit::AckLimit;
use super::ack_timeout::AckTimeout;
use super::cut_detector::CutDetector;
use super::head_limit::HeadBudget;
use super::head_limit::HeadLimit;
use super::limits::CONNECT_TIMEOUT;
use super::limits::MAX_HEAD_BYTES;
use super::limits::MAX_IDLE_CONNECTIONS;
use super::limits::MAX_ONCE_IDLE;
use crate::direct::Server;
use crate::direct::ServerId;
use crate::http::FairStream;
use crate::http::WholeBody;
use crate::timer::Clock;
use crate::types::Millis;
use crate::types::MonoTime;

/// The sending end of a connection.
#[derive(Debug)]
pub(super) struct Sender {
    pub(super) requests: SendRequest<WholeBody>,
    pub(super) budget: HeadBudget,
    pub(super) ack_timeout: AckTimeout,
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.ack_timeout.end();
    }
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    server: Rc<Server>,
    purpose: Purpose,
    since: MonoTime,
    timeout: Millis,
}

impl Idle {
    fn leads_to(&self, server: &Server) -> bool {
        self.server.started == server.started && self.server.addr == server.addr
    }
}

/// The idle connections of one process.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    idle: RefCell<HashMap<ServerId, Vec<Idle>>>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            idle: RefCell::default(),
        })
    }

    /// Returns an idle connection to this incarnation of `server` that had the same purpose, or opens
    /// a new one.
    ///
    /// # Errors
    /// No connection could be opened.
    pub async fn connect(
        self: &Rc<Self>,
        server: &Rc<Server>,
        purpose: Purpose,
    ) -> Result<Connection, SendFault> {
        let new = |sender| Connection::new(sender, server.clone(), self.clone(), purpose);
        if let Some(sender) = self.take(server, purpose) {
            return Ok(new(sender));
        }
        let opening = open(server);
        let sender = match compio::time::timeout(CONNECT_TIMEOUT.duration(), opening).await {
            Ok(Ok(sender)) => sender,
            Ok(Err(error)) => return Err(SendFault::Unsent(error.to_string())),
            Err(_) => {
                return Err(SendFault::Unsent(format!(
                    "not connected within {CONNECT_TIMEOUT}"
                )));
            }
        };
        Ok(new(sender))
    }

    /// Drops the idle connections to a server.
    pub fn forget(&self, server: &ServerId) {
        self.idle.borrow_mut().remove(server);
    }

    pub(super) fn put(
        &self,
        server: Rc<Server>,
        sender: Sender,
        purpose: Purpose,
        timeout: Millis,
    ) {
        if sender.requests.is_closed() || timeout == Millis::ZERO {
            return;
        }
        let since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let stack = idle.entry(server.id.clone()).or_default();
        stack.push(Idle {
            sender,
            server,
            purpose,
            since,
            timeout,
        });
        if stack.len() > MAX_IDLE_CONNECTIONS {
            stack.remove(0);
        }
    }

    fn take(&self, server: &Server, purpose: Purpose) -> Option<Sender> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let stack = idle.get_mut(&server.id)?;
        let is_usable =
            |idle: &Idle| now.since(idle.since) < idle.timeout && !idle.sender.requests.is_closed();
        stack.retain(|idle| idle.leads_to(server) && is_usable(idle));
        let is_suited = |idle: &Idle| match purpose {
            Purpose::Order => idle.purpose == Purpose::Order,
            Purpose::Request => idle.purpose != Purpose::Order,
            Purpose::SingleRun => {
                idle.purpose != Purpose::Order && now.since(idle.since) < MAX_ONCE_IDLE
            }
        };
        let index = stack
            .iter()
            .rposition(|idle| idle.sender.requests.is_ready() && is_suited(idle))?;
        Some(stack.remove(index).sender)
    }
}

async fn open(server: &Server) -> anyhow::Result<Sender> {
    let stream = TcpStream::connect(server.addr).await?;
    stream.set_nodelay(true)?;
    let budget = HeadBudget::new();
    let ack_timeout = AckTimeout::new();
    let socket = stream.clone();
    let stream = FairStream::new(HyperStream::new_plain(stream));
    let stream = HeadLimit::new(stream, budget.clone());
    let stream = AckLimit::new(stream, socket, ack_timeout.clone());
    let stream = CutDetector::new(stream);
    let (requests, connection) = Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(stream)
        .await?;
    compio::runtime::spawn(async move {
        if let Err(error) = connection.await {
            crate::event!(debug, "server_connection_ended", error = error);
        }
    })
    .detach();
    Ok(Sender {
        requests,
        budget,
        ack_timeout,
    })
}
