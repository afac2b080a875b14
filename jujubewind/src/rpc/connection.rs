//! Connections to other Jujubewind processes, opened on first use.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use compio::net::TcpStream;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::client::Config;
use tarpc::client::NewClient;
use tarpc::client::RpcError;
use tarpc::context::Context;

use super::AgentClient;
use super::Error;
use super::PeerClient;
use super::Result;
use super::Room;
use super::exchanged::NOT_DELIVERED;
use super::transport::Transport;
use crate::types::Millis;

/// How long to wait for a connection.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// A tarpc-generated client that is created from a connected transport.
pub trait Connection: Clone + 'static {
    /// The request type.
    type Req: Serialize + tarpc::RequestName + 'static;
    /// The response type.
    type Resp: DeserializeOwned + 'static;

    /// Spawns the task that owns the socket and returns a client for it; `closed` is set when the
    /// task ends.
    fn spawn(
        transport: Transport<tarpc::Response<Self::Resp>, tarpc::ClientMessage<Self::Req>>,
        closed: Rc<Cell<bool>>,
    ) -> Self;
}

macro_rules! connection {
    ($client:ident, $req:ident, $resp:ident) => {
        impl Connection for $client {
            type Req = super::$req;
            type Resp = super::$resp;

            fn spawn(
                transport: Transport<tarpc::Response<Self::Resp>, tarpc::ClientMessage<Self::Req>>,
                closed: Rc<Cell<bool>>,
            ) -> Self {
                let NewClient { client, dispatch } = $client::new(Config::default(), transport);
                let task = async move {
                    let _ = dispatch.await;
                    closed.set(true);
                };
                compio::runtime::spawn(task).detach();
                client
            }
        }
    };
}

connection!(AgentClient, AgentRequest, AgentResponse);
connection!(PeerClient, PeerRequest, PeerResponse);

/// A client and whether its connection has ended.
struct OpenConnection<C> {
    client: C,
    closed: Rc<Cell<bool>>,
}

/// Pool with one open connection per address; clones share it.
#[derive(Clone)]
pub struct Connections<C> {
    room: Room,
    open: Rc<RefCell<HashMap<SocketAddr, OpenConnection<C>>>>,
}

impl<C: Connection> Default for Connections<C> {
    fn default() -> Self {
        Self::new(Room::unlimited())
    }
}

impl<C: Connection> Connections<C> {
    /// Creates a pool whose responses are held in `room`.
    #[must_use]
    pub fn new(room: Room) -> Self {
        Self {
            room,
            open: Rc::default(),
        }
    }

    /// Makes one call to `addr` and waits at most `timeout` for its answer.
    ///
    /// # Errors
    /// The connection cannot be opened, or no answer arrives in time.
    pub async fn call<T>(
        &self,
        addr: SocketAddr,
        timeout: Millis,
        call: impl AsyncFnOnce(&C, Context) -> std::result::Result<T, RpcError>,
    ) -> Result<T> {
        let client = self.client(addr).await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + timeout.duration();
        let outcome = call(&client, context).await;
        if let Err(RpcError::Shutdown | RpcError::Channel(_)) = &outcome {
            self.open.borrow_mut().remove(&addr);
        }
        outcome.map_err(|cause| match cause {
            RpcError::Server(error) if error.detail == NOT_DELIVERED => Error::NotDelivered(addr),
            cause => Error::NoAnswer(addr, cause),
        })
    }

    /// Removes the connection to `addr`; it closes once its pending calls have ended.
    pub fn forget(&self, addr: SocketAddr) {
        self.open.borrow_mut().remove(&addr);
    }

    /// Returns the client of the open connection to `addr`, or connects.
    async fn client(&self, addr: SocketAddr) -> Result<C> {
        // Reconnects if the connection is closed: a call on it would fail with an unknown outcome,
        // although nothing is sent.
        if let Some(connection) = self.open.borrow().get(&addr)
            && !connection.closed.get()
        {
            return Ok(connection.client.clone());
        }
        let connecting =
            compio::time::timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(addr));
        let stream = match connecting.await {
            Ok(outcome) => outcome.map_err(|cause| Error::Connect(addr, cause))?,
            Err(_) => return Err(Error::Connect(addr, std::io::ErrorKind::TimedOut.into())),
        };
        let _ = stream.set_nodelay(true);
        let closed = Rc::default();
        let client = C::spawn(
            Transport::new(stream, self.room.clone()),
            Rc::clone(&closed),
        );
        let connection = OpenConnection {
            client: client.clone(),
            closed,
        };
        self.open.borrow_mut().insert(addr, connection);
        Ok(client)
    }
}
