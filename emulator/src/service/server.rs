//! HTTP routes of the service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;

use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use jujubewind::wire::service::ServiceCounts;
use jujubewind::wire::service::ServiceReply;
use serde_json::json;

use super::ServiceFaults;
use super::faults::ServiceSwitch;
use crate::http::Call;
use crate::http::Handler;
use crate::http::HangUp;
use crate::http::Reply;
use crate::http::json as reply;

/// Header whose value identifies a call in the counts.
const KEY_HEADER: &str = "idempotency-key";

/// Header that names the requests a second that the service takes.
const LIMIT_HEADER: HeaderName = HeaderName::from_static("request-limit");

#[derive(Debug, Default)]
struct Server {
    executions: RefCell<HashMap<String, u64>>,
    faults: RefCell<ServiceFaults>,
}

/// Serves `POST /{method}`, `GET /counts` and `/faults` on `listener`.
///
/// # Errors
/// The listener cannot be used.
pub async fn serve(listener: TcpListener, faults: ServiceFaults) -> io::Result<()> {
    let server = Server {
        faults: RefCell::new(faults),
        ..Server::default()
    };
    crate::http::serve(listener, Rc::new(server)).await
}

impl Handler for Server {
    async fn handle(self: Rc<Self>, call: Call) -> Result<Reply, HangUp> {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/counts") => Ok(self.counts()),
            (&Method::GET, "/faults") => Ok(reply(StatusCode::OK, &*self.faults.borrow())),
            (&Method::POST, "/faults") => Ok(self.update_faults(&call)),
            (&Method::POST, _) => {
                let mut reply = self.clone().execute(&call).await?;
                self.name_limit(&mut reply);
                Ok(reply)
            }
            _ => Ok(error_reply(StatusCode::NOT_FOUND, "no such route")),
        }
    }
}

impl Server {
    fn counts(&self) -> Reply {
        let executions = self.executions.borrow().clone();
        reply(StatusCode::OK, &ServiceCounts { executions })
    }

    fn update_faults(&self, call: &Call) -> Reply {
        match call.json::<ServiceSwitch>() {
            Ok(update) => {
                update.apply(&mut self.faults.borrow_mut());
                reply(StatusCode::OK, &*self.faults.borrow())
            }
            Err(error) => error_reply(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    fn name_limit(&self, reply: &mut Reply) {
        let Some(limit) = self.faults.borrow().limit_milli else {
            return;
        };
        let (whole, rest) = (limit.milli() / 1_000, limit.milli() % 1_000);
        if let Ok(value) = HeaderValue::try_from(format!("{whole}.{rest:03}")) {
            reply.headers_mut().insert(LIMIT_HEADER, value);
        }
    }

    async fn execute(self: Rc<Self>, call: &Call) -> Result<Reply, HangUp> {
        if self.faults.borrow().fail {
            return Ok(error_reply(
                StatusCode::INTERNAL_SERVER_ERROR,
                "switched to fail",
            ));
        }
        let key = call.header(KEY_HEADER).map(str::to_owned);
        // A separate task, so that the execution continues if the caller disconnects.
        let task = compio::runtime::spawn(self.clone().count_execution(key.clone()));
        let executions = task.await.map_err(|_| HangUp)?;
        if self.faults.borrow().lose_answers {
            return Err(HangUp);
        }
        let method = call.path.trim_start_matches('/').to_owned();
        let body = ServiceReply {
            key,
            executions,
            method,
        };
        Ok(reply(StatusCode::OK, &body))
    }

    /// Executes a call after the delay and returns its count; calls without a key share one count.
    async fn count_execution(self: Rc<Self>, key: Option<String>) -> u64 {
        let delay = self.faults.borrow().delay_ms;
        compio::time::sleep(delay.duration()).await;
        let mut executions = self.executions.borrow_mut();
        let count = executions.entry(key.unwrap_or_default()).or_default();
        *count += 1;
        *count
    }
}

fn error_reply(status: StatusCode, message: &str) -> Reply {
    reply(status, &json!({ "error": message }))
}
