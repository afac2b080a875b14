//! One connection to a backend server.

use std::rc::Rc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;

use super::Pool;
use super::Purpose;
use super::SendFault;
use super::limits::DEFAULT_IDLE_TIMEOUT;
use super::limits::IDLE_MARGIN;
use super::pool::Sender;
use crate::direct::Server;
use crate::http::WholeBody;
use crate::types::Millis;

/// The header in which a server announces how long it keeps an idle connection open.
const KEEP_ALIVE: &str = "keep-alive";
const MILLIS_PER_SECOND: u64 = 1_000;

/// A connection that serves one request at a time; dropping it without `give_back` closes it.
#[derive(Debug)]
pub struct Connection {
    sender: Sender,
    server: Rc<Server>,
    pool: Rc<Pool>,
    purpose: Purpose,
    idle_timeout: Millis,
}

impl Connection {
    pub(super) const fn new(
        sender: Sender,
        server: Rc<Server>,
        pool: Rc<Pool>,
        purpose: Purpose,
    ) -> Self {
        Self {
            sender,
            server,
            pool,
            purpose,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }

    /// Sends a request and waits for the head of the response; the server may acknowledge nothing for
    /// `patience`.
    ///
    /// # Errors
    /// No response arrived; the error says whether the request may have run.
    pub async fn send(
        &mut self,
        request: Request<WholeBody>,
        patience: Millis,
    ) -> Result<Response<Incoming>, SendFault> {
        self.sender.budget.begin();
        self.sender.ack_timeout.begin(patience);
        match self.sender.requests.try_send_request(request).await {
            Ok(response) => {
                self.sender.budget.end();
                self.idle_timeout = idle_timeout(response.headers());
                Ok(response)
            }
            Err(mut fault) => {
                let unsent = fault.take_message().is_some();
                let error = fault.into_error();
                if unsent {
                    return Err(SendFault::Unsent(error.to_string()));
                }
                Err(SendFault::Lost(error))
            }
        }
    }

    /// Returns the connection to the pool; the response must have been read to its end.
    pub fn give_back(self) {
        let pool = self.pool.clone();
        pool.put(self.server, self.sender, self.purpose, self.idle_timeout);
    }
}

fn idle_timeout(headers: &HeaderMap) -> Millis {
    let announced = headers
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok());
    let seconds = announced.and_then(|text| {
        let mut parts = text.split(',').map(str::trim);
        parts
            .find_map(|part| part.strip_prefix("timeout="))?
            .parse::<u64>()
            .ok()
    });
    let Some(seconds) = seconds else {
        return DEFAULT_IDLE_TIMEOUT;
    };
    Millis(seconds * MILLIS_PER_SECOND).saturating_sub(IDLE_MARGIN)
}
