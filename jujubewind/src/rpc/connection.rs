//! Connections to other processes of ours, opened when first needed.

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
use super::transport::Frames;
use super::transport::frames;
use crate::types::Millis;

/// The longest wait for a connection.
const CONNECT_TIMEOUT: Millis = Millis(1_000);

/// A client that tarpc generated, made from a connected transport.
pub trait Connection: Clone + 'static {
    /// What the client sends.
    type Req: Serialize + tarpc::RequestName + 'static;
    /// What the client receives.
    type Resp: DeserializeOwned + 'static;

    /// Starts the task that owns the socket and returns the handle to it; `closed` is set when
    /// the task ends.
    fn spawn(
        frames: Frames<tarpc::Response<Self::Resp>, tarpc::ClientMessage<Self::Req>>,
        closed: Rc<Cell<bool>>,
    ) -> Self;
}

macro_rules! connection {
    ($client:ident, $req:ident, $resp:ident) => {
        impl Connection for $client {
            type Req = super::$req;
            type Resp = super::$resp;

            fn spawn(
                frames: Frames<tarpc::Response<Self::Resp>, tarpc::ClientMessage<Self::Req>>,
                closed: Rc<Cell<bool>>,
            ) -> Self {
                let NewClient { client, dispatch } = $client::new(Config::default(), frames);
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

/// A client with word of whether its connection has ended.
struct Open<C> {
    client: C,
    closed: Rc<Cell<bool>>,
}

/// One open connection for each address; clones share them.
#[derive(Clone)]
pub struct Connections<C> {
    open: Rc<RefCell<HashMap<SocketAddr, Open<C>>>>,
}

impl<C: Connection> Default for Connections<C> {
    fn default() -> Self {
        Self {
            open: Rc::default(),
        }
    }
}

impl<C: Connection> Connections<C> {
    /// Makes one call to `addr` and waits for its answer for at most `timeout`.
    ///
    /// # Errors
    /// No connection came about, or no answer came in time.
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
        outcome.map_err(|cause| Error::NoAnswer(addr, cause))
    }

    /// Closes the connection to `addr`, once its calls have ended.
    pub fn forget(&self, addr: SocketAddr) {
        self.open.borrow_mut().remove(&addr);
    }

    async fn client(&self, addr: SocketAddr) -> Result<C> {
        // A call on a connection that has ended would leave a doubt for nothing.
        if let Some(known) = self.open.borrow().get(&addr)
            && !known.closed.get()
        {
            return Ok(known.client.clone());
        }
        let connecting =
            compio::time::timeout(CONNECT_TIMEOUT.duration(), TcpStream::connect(addr));
        let stream = match connecting.await {
            Ok(outcome) => outcome.map_err(|cause| Error::Connect(addr, cause))?,
            Err(_) => return Err(Error::Connect(addr, std::io::ErrorKind::TimedOut.into())),
        };
        let _ = stream.set_nodelay(true);
        let closed = Rc::default();
        let client = C::spawn(frames(stream), Rc::clone(&closed));
        let known = Open {
            client: client.clone(),
            closed,
        };
        self.open.borrow_mut().insert(addr, known);
        Ok(client)
    }
}
