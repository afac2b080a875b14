//! The page that is read for metrics.

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
use crate::http;
use crate::http::Handler;
use crate::http::Reply;
use crate::http::Serving;
use crate::metrics::DirectGauges;
use crate::types::Revision;

/// Serves the metrics.
pub struct MetricsPage<D> {
    /// Counters and the table.
    pub shared: Shared,
    /// The requests in hand.
    pub gateway: Rc<Gateway<D>>,
}

impl<D: Dialect> MetricsPage<D> {
    /// Callers are served without metrics if their address is taken.
    pub async fn serve(self, addr: SocketAddr) {
        match TcpListener::bind(addr).await {
            Ok(listener) => http::serve(listener, Rc::new(self), Serving::new()).await,
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
            proof: state.age(BootTime::now()),
            servers: counts.servers,
            peers: counts.peers,
            waiting: counts.waiting,
            open: self.gateway.open(),
        };
        http::plain(StatusCode::OK, self.shared.metrics.encode(&gauges))
    }
}
