//! Handler of the HTTP API.

use std::rc::Rc;
use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
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
use crate::http::Reply;
use crate::http::WholeBody;
use crate::http::json;
use crate::http::plain;
use crate::refusal::Reason;
use crate::settings::EntrySettings;
use crate::timer::Clock;
use crate::types::Bytes;
use crate::types::Millis;
use crate::types::RequestId;
use crate::wire::openai::Model;
use crate::wire::openai::ModelList;

/// What the bodies of all requests may take, twice over for a moment.
const BODY_MEMORY: Bytes = Bytes(256 * 1_024 * 1_024);
/// The header with the request's ID, which logs contain too.
const REQUEST_ID: &str = "x-request-id";

/// The HTTP API of an entry.
pub struct Api {
    pub(super) settings: EntrySettings,
    pub(super) clock: Clock,
    pub(super) agents: AgentClients,
    pub(super) control: Control,
    pub(super) dispatcher: ServiceDispatcher,
    pub(super) spending: Option<Spending>,
    /// The bodies of requests.
    bodies: Arc<BodyBudget>,
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
        reply
    }
}

impl Api {
    /// Creates the API from the components of the entry.
    pub fn new(
        settings: EntrySettings,
        clock: Clock,
        agents: AgentClients,
        control: Control,
        dispatcher: ServiceDispatcher,
        spending: Option<Spending>,
    ) -> Self {
        Self {
            settings,
            clock,
            agents,
            control,
            dispatcher,
            spending,
            bodies: BodyBudget::new(BODY_MEMORY),
        }
    }

    async fn dispatch(&self, id: RequestId, request: Request<Incoming>) -> Result<Reply, Failure> {
        let route = Route::parse(request.method(), request.uri().path())
            .ok_or(Failure::not_run(Reason::UnknownRoute, Millis::ZERO))?;
        let (parts, body) = request.into_parts();
        match route {
            Route::Live => Ok(plain(StatusCode::OK, "live\n")),
            Route::Ready => Ok(self.ready().await),
            Route::Metrics => Ok(plain(StatusCode::OK, self.control.metrics().await)),
            Route::Status => Ok(self.status().await),
            Route::Explain => Ok(self
                .explain(id, parts.uri.query().unwrap_or_default())
                .await),
            Route::Models => self.models(&parts.headers).await,
            Route::Generate(dialect) => {
                let body = self.read_body(body).await?;
                self.generate(id, dialect, &parts.headers, &body.to_vec())
                    .await
            }
            Route::Service { name, method } => {
                let body = self.read_body(body).await?;
                self.service(name, method, &parts.headers, body.to_vec())
                    .await
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
                Error::NoRoom => Reason::Overloaded,
            };
            Failure::not_run(reason, Millis::ZERO)
        })
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
