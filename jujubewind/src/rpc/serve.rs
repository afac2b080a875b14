//! The server of calls between processes.

use std::cell::Cell;
use std::rc::Rc;

use compio::net::TcpListener;
use compio::net::TcpStream;
use futures::StreamExt;
use futures::future::select;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::RequestName;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::server::Serve;

use super::Room;
use super::transport::Transport;
use crate::http::ConnectionLimits;
use crate::http::Connections;
use crate::http::Phase;
use crate::types::Bytes;
use crate::types::Millis;

/// The pause after a connection that could not be accepted, as when no descriptor is left.
const ACCEPT_PAUSE: Millis = Millis(10);

/// Counts the calls of a connection that are being handled.
struct Handling {
    open: Rc<Cell<usize>>,
    phase: Phase,
}

impl Handling {
    fn begin(open: &Rc<Cell<usize>>, phase: &Phase) -> Self {
        open.set(open.get() + 1);
        phase.serve();
        Self {
            open: open.clone(),
            phase: phase.clone(),
        }
    }
}

impl Drop for Handling {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        if self.open.get() == 0 {
            self.phase.wait();
        }
    }
}

/// Serves calls on each connection that `listener` accepts, until the future is dropped. When there are
/// too many, the one that has been idle for longest is closed: its process connects again with its
/// next call.
pub async fn serve<S>(listener: TcpListener, service: S, room: Room, limits: ConnectionLimits)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    let connections = Rc::new(Connections::default());
    connections.set_limit(limits.most(Bytes::ZERO));
    loop {
        let Ok((stream, caller)) = listener.accept().await else {
            compio::time::sleep(ACCEPT_PAUSE.duration()).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let Some((counted, phase, ended)) = connections.add() else {
            crate::event!(
                warn,
                "connection_refused",
                caller = caller,
                reason = "limit"
            );
            continue;
        };
        let serving = serve_connection(stream, service.clone(), room.clone(), phase);
        compio::runtime::spawn(async move {
            let serving = std::pin::pin!(serving);
            select(serving, ended.into_recv_async()).await;
            drop(counted);
        })
        .detach();
    }
}

async fn serve_connection<S>(stream: TcpStream, service: S, room: Room, phase: Phase)
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + RequestName + 'static,
    S::Resp: Serialize + 'static,
{
    let transport = Transport::new(stream, room);
    let charges = transport.charges();
    let open = Rc::new(Cell::new(0));
    let mut requests = BaseChannel::with_defaults(transport).requests();
    while let Some(Ok(request)) = requests.next().await {
        // The memory of a request is counted until its handler has ended.
        let charge = charges.borrow_mut().pop_front().flatten();
        let handling = Handling::begin(&open, &phase);
        let service = service.clone();
        compio::runtime::spawn(async move {
            request.execute(service).await;
            drop((charge, handling));
        })
        .detach();
    }
}
