//! The metrics endpoint.

use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpListener;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::direct::BootTime;
use crate::direct::Dialect;
use crate::direct::Gateway;
use crate::direct::Shared;
use crate::direct::TablePart;
use crate::http;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::ServerHandle;
use crate::metrics::DirectGauges;
use crate::types::Revision;

/// Serves the metrics over HTTP.
pub struct MetricsPage<D> {
    /// The counters and the state of the entry.
    pub shared: Shared,
    /// The gateway, for the number of open requests.
    pub gateway: Rc<Gateway<D>>,
    /// The server of callers, for the number of connections.
    pub serving: ServerHandle,
}

impl<D: Dialect> MetricsPage<D> {
    /// Serves until dropped. If the address cannot be bound, the entry runs without metrics.
    pub async fn serve(self, addr: SocketAddr) {
        match TcpListener::bind(addr).await {
            Ok(listener) => http::serve(listener, Rc::new(self), ServerHandle::new()).await,
            Err(error) => {
                crate::event!(error, "metrics_not_served", addr = addr, error = error);
            }
        }
    }
}

impl<D: Dialect> Handler for MetricsPage<D> {
    async fn handle(self: Rc<Self>, _: Request<Incoming>) -> Reply {
        let state = &self.shared.state;
        let counts = state.counts();
        let table = state.table();
        let gauges = DirectGauges {
            version: table.map_or(Revision::ZERO, |table| table.version),
            staleness: state.table_age(BootTime::now()),
            servers: counts.servers,
            peers: counts.peers,
            waiting: counts.waiting,
            limited: counts.limited,
            cold: counts.cold,
            evacuated: counts.evacuated,
            open: self.gateway.open(),
            connections: self.serving.connections(),
            body_bytes: self.gateway.body_bytes(),
        };
        for part in TablePart::ALL {
            self.shared.metrics.set_unread(*part, state.unread(*part));
        }
        self.shared.metrics.count_closed(self.serving.take_closed());
        http::plain(StatusCode::OK, self.shared.metrics.encode(&gauges))
    }
}
