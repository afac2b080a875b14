//! The engine's HTTP routes.

use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use jujubewind::types::Millis;
use jujubewind::types::Tokens;
use jujubewind::wire::engine::CancelRequest;
use jujubewind::wire::engine::CancelResult;
use jujubewind::wire::engine::GenerateRequest;
use jujubewind::wire::engine::KvExport;
use jujubewind::wire::engine::KvRequest;
use jujubewind::wire::engine::Order;
use jujubewind::wire::engine::PartRelease;
use jujubewind::wire::engine::PartRequest;
use jujubewind::wire::engine::PartResult;
use serde_json::json;

use super::EngineOptions;
use super::core::Prompt;
use super::core::Submit;
use super::error_reply::ErrorReply;
use super::state::State;
use super::step_loop::run_step_loop;
use super::switch::EngineSwitch;
use crate::http::Call;
use crate::http::Handler;
use crate::http::HangUp;
use crate::http::Reply;
use crate::http::json as reply;
use crate::http::stream;

struct Server {
    state: Rc<RefCell<State>>,
}

/// Serves an engine on `listener`.
///
/// # Errors
/// The listener cannot be used.
pub async fn serve(listener: TcpListener, options: EngineOptions) -> io::Result<()> {
    let (state, wake_rx) = State::new(options);
    let state = Rc::new(RefCell::new(state));
    compio::runtime::spawn(run_step_loop(state.clone(), wake_rx)).detach();
    crate::http::serve(listener, Rc::new(Server { state })).await
}

impl Handler for Server {
    async fn handle(self: Rc<Self>, call: Call) -> Result<Reply, HangUp> {
        if call.path == "/faults" {
            return Ok(self.faults(&call));
        }
        self.wait_until_unfrozen().await;
        let answer = self.route(&call).unwrap_or_else(ErrorReply::into_reply);
        self.state.borrow().wake_step_loop();
        Ok(answer)
    }
}

/// The response of a route.
type RouteResult = Result<Reply, ErrorReply>;

impl Server {
    fn route(&self, call: &Call) -> RouteResult {
        let now = self.state.borrow_mut().advance();
        self.state.borrow().core.check_up(now)?;
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/completions") => self.generate(call),
            (&Method::POST, "/v1/cancel") => self.cancel(call),
            (&Method::POST, "/v1/kv/export") => self.export(call),
            (&Method::POST, "/v1/kv/import") => self.import(call),
            (&Method::POST, "/v1/kv/drop") => self.drop_export(call),
            (&Method::POST, "/v1/orders") => self.order(call),
            (&Method::POST, "/v1/parts") => self.reserve(call),
            (&Method::POST, "/v1/parts/release") => self.release(call),
            (&Method::GET, "/v1/sequences") => {
                Ok(ok(&self.state.borrow_mut().core.list_sequences(now)))
            }
            (&Method::GET, "/v1/load") => Ok(ok(&self.state.borrow_mut().core.published_load(now))),
            (&Method::GET, "/v1/cache/events") => {
                let after = call.query_u64("after");
                Ok(ok(&self.state.borrow().core.cache_events(now, after)))
            }
            _ => Err(ErrorReply::no_route()),
        }
    }

    fn generate(&self, call: &Call) -> RouteResult {
        let request: GenerateRequest = call.json()?;
        let prompt = Prompt::parse(&request.prompt);
        let hash = prompt.hash;
        let submit = Submit {
            id: request.request_id.clone(),
            model: request.model,
            prompt,
            max_tokens: request.max_tokens,
            priority: request.priority,
            offset: request.offset,
            group: request.group,
        };
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let key = state.core.submit(now, submit)?;
        let events = state
            .streams
            .open(key, request.request_id, hash, request.offset);
        Ok(stream("text/event-stream", events))
    }

    fn cancel(&self, call: &Call) -> RouteResult {
        let request: CancelRequest = call.json()?;
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let (found, key) = state.core.cancel(now, &request.request_id);
        if let Some(key) = key {
            state.finish_cancelled(key);
        }
        Ok(ok(&CancelResult { state: found }))
    }

    fn export(&self, call: &Call) -> RouteResult {
        let request: KvExport = call.json()?;
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let handle = state.core.export(now, &request.request_id)?;
        Ok(ok(&handle))
    }

    fn import(&self, call: &Call) -> RouteResult {
        let request: KvRequest = call.json()?;
        let mut state = self.state.borrow_mut();
        let now = state.now();
        state.core.import(now, &request.handle)?;
        Ok(acknowledge())
    }

    fn drop_export(&self, call: &Call) -> RouteResult {
        let request: KvRequest = call.json()?;
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let key = state.core.drop_export(now, &request.handle)?;
        state.finish_cancelled(key);
        Ok(acknowledge())
    }

    fn order(&self, call: &Call) -> RouteResult {
        let order: Order = call.json()?;
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let result = state.core.execute_order(now, &order)?;
        Ok(ok(&result))
    }

    fn reserve(&self, call: &Call) -> RouteResult {
        let request: PartRequest = call.json()?;
        let mut state = self.state.borrow_mut();
        let now = state.now();
        let size = Tokens(request.tokens);
        let ttl = state.to_engine_time(Millis(request.ttl_ms));
        state.core.reserve_part(now, &request.group, size, ttl)?;
        let handle = request.group;
        Ok(ok(&PartResult { handle }))
    }

    fn release(&self, call: &Call) -> RouteResult {
        let request: PartRelease = call.json()?;
        let mut state = self.state.borrow_mut();
        let now = state.now();
        state.core.release_part(now, &request.group)?;
        Ok(acknowledge())
    }

    fn faults(&self, call: &Call) -> Reply {
        if call.method == Method::POST {
            match call.json::<EngineSwitch>() {
                Ok(switch) => self.apply_switch(&switch),
                Err(error) => return ErrorReply::from(error).into_reply(),
            }
        }
        ok(self.state.borrow().core.faults())
    }

    fn apply_switch(&self, switch: &EngineSwitch) {
        let mut state = self.state.borrow_mut();
        let mut faults = state.core.faults().clone();
        switch.apply(&mut faults);
        state.core.set_faults(faults);
        if switch.drop_streams {
            state.streams.abort_all();
        }
        if let Some(span) = switch.freeze_ms {
            let frozen_until = state.now().after(span);
            state.frozen_until = frozen_until;
            state.core.freeze(frozen_until);
        }
        if let Some(crash) = switch.crash {
            state.crash(crash);
        }
        state.wake_step_loop();
    }

    /// Waits while the engine is frozen.
    async fn wait_until_unfrozen(&self) {
        loop {
            let micros = {
                let state = self.state.borrow();
                if state.now() >= state.frozen_until {
                    return;
                }
                state.micros_until(state.frozen_until)
            };
            compio::time::sleep(Duration::from_micros(micros)).await;
        }
    }
}

fn ok<T: serde::Serialize>(body: &T) -> Reply {
    reply(StatusCode::OK, body)
}

fn acknowledge() -> Reply {
    ok(&json!({ "ok": true }))
}
