//! Handler of the HTTP API.

use std::rc::Rc;
use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

use super::error_reply::error_reply;
use super::headers;
use super::route::Route;
use crate::entry::Failure;
use crate::entry::agent_clients::AgentClients;
use crate::entry::control::Control;
use crate::entry::service::ServiceDispatcher;
use crate::entry::spending::Spending;
use crate::http;
use crate::http::BodyBudget;
use crate::http::Error;
use crate::http::Handler;
use crate::http::ReadLimit;
use crate::http::Reply;
use crate::http::ServerHandle;
use crate::http::WholeBody;
use crate::http::json;
use crate::http::plain;
use crate::memory::Blob;
use crate::memory::Held;
use crate::memory::Purpose;
use crate::metrics::HeldMetrics;
use crate::refusal::Reason;
use crate::settings::EntrySettings;
use crate::timer::Clock;
use crate::types::Millis;
use crate::types::RequestId;
use crate::wire::openai::Model;
use crate::wire::openai::ModelList;

/// The header with the request's ID, which logs contain too.
const REQUEST_ID: &str = "x-request-id";

/// The HTTP API of an entry.
pub struct Api {
    /// The settings of the entry.
    pub settings: EntrySettings,
    /// The clock of deadlines.
    pub clock: Clock,
    /// The clients of the agents.
    pub agents: AgentClients,
    /// A handle on the task that owns the entry's shared state.
    pub control: Control,
    /// Sends calls to plain services.
    pub dispatcher: ServiceDispatcher,
    /// Meters the use of credit; `None` without a platform.
    pub spending: Option<Spending>,
    /// The bodies of requests and responses.
    pub bodies: Arc<BodyBudget>,
    /// The server of callers, for the metrics of its connections.
    pub serving: ServerHandle,
}

impl Handler for Api {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let id = RequestId::random(&mut rand::rng());
        let mut reply = match self.dispatch(id, request).await {
            Ok(reply) => reply,
            Err(failure) => {
                self.control.count_refusal(failure.reason);
                error_reply(id, &failure)
            }
        };
        if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
            reply.headers_mut().insert(REQUEST_ID, value);
        }
        if !is_stream(&reply) {
            reply.extensions_mut().insert(ReadLimit::REPLY);
        }
        reply
    }
}

impl Api {
    async fn dispatch(&self, id: RequestId, request: Request<Incoming>) -> Result<Reply, Failure> {
        let route = Route::parse(request.method(), request.uri().path())
            .ok_or(Failure::not_run(Reason::UnknownRoute, Millis::ZERO))?;
        let (parts, body) = request.into_parts();
        match route {
            Route::Live => Ok(plain(StatusCode::OK, "live\n")),
            Route::Ready => Ok(self.ready().await),
            Route::Metrics => Ok(plain(StatusCode::OK, self.metrics().await)),
            Route::Status => Ok(self.status().await),
            Route::Explain => Ok(self
                .explain(id, parts.uri.query().unwrap_or_default())
                .await),
            Route::Models => self.models(&parts.headers).await,
            Route::Generate(dialect) => {
                let body = self.read_body(body).await?;
                self.generate(id, dialect, &parts.headers, body).await
            }
            Route::Service { name, method } => {
                let body = self.read_body(body).await?;
                let body = self.hold(body)?;
                self.service(name, method, &parts.headers, body).await
            }
        }
    }

    async fn read_body(&self, body: Incoming) -> Result<WholeBody, Failure> {
        let (limit, timeout) = (self.settings.body, self.settings.arrival);
        let outcome = http::read_body(body, limit, timeout, &self.bodies, self.clock).await;
        outcome.map_err(|error| {
            let reason = match error {
                Error::TooLarge(_) => Reason::BodyTooLarge,
                Error::TooSlow(_) => Reason::BodyTooSlow,
                Error::Interrupted(_) => Reason::BadRequest,
                Error::NoRoom => return Failure::no_room(),
            };
            Failure::not_run(reason, Millis::ZERO)
        })
    }

    /// Takes a body in one piece; it is counted once more for the frame in which it is sent on.
    fn hold(&self, body: WholeBody) -> Result<Held<Blob>, Failure> {
        let blob = Blob(body.to_vec());
        self.hold_value(blob, body)
    }

    /// Counts what was read from a body in its place, twice as it is sent on in a frame.
    pub(super) fn hold_value<T: AsRef<[u8]>>(
        &self,
        value: T,
        body: WholeBody,
    ) -> Result<Held<T>, Failure> {
        let charge = body.into_charge();
        let mut charge = charge.unwrap_or_else(|| self.bodies.account().open(Purpose::Request));
        if !charge.resize(2 * value.as_ref().len()) {
            return Err(Failure::no_room());
        }
        Ok(Held::counted(value, charge))
    }

    async fn metrics(&self) -> String {
        let closed = self.serving.take_closed();
        let held = HeldMetrics {
            bytes: self.bodies.used(),
            connections: self.serving.connections(),
            closed,
        };
        self.control.metrics(held).await
    }

    async fn ready(&self) -> Reply {
        if self.control.is_ready().await {
            plain(StatusCode::OK, "ready\n")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    async fn status(&self) -> Reply {
        match self.control.status().await {
            Some(status) => json(StatusCode::OK, &status),
            None => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }

    async fn models(&self, headers: &HeaderMap) -> Result<Reply, Failure> {
        let names = self.control.names(headers::bearer(headers)).await?;
        let data = names.iter().map(|name| Model {
            id: name.to_string(),
            object: "model".to_owned(),
            created: 0,
            owned_by: "jujubewind".to_owned(),
        });
        let list = ModelList {
            object: "list".to_owned(),
            data: data.collect(),
        };
        Ok(json(StatusCode::OK, &list))
    }
}

/// Whether a reply lasts as long as its request runs.
fn is_stream(reply: &Reply) -> bool {
    let kind = reply.headers().get(CONTENT_TYPE);
    kind.is_some_and(|kind| kind == "text/event-stream")
}
