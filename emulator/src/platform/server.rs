//! HTTP routes of the platform.

use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;

use hyper::Method;
use hyper::StatusCode;
use jujubewind::timer::Clock;
use jujubewind::timer::TimerService;
use jujubewind::types::Millis;
use jujubewind::types::MonoTime;
use jujubewind::wire::platform::LeaseKeepAliveRequest;
use jujubewind::wire::platform::LeaseRevokeRequest;
use jujubewind::wire::platform::TxnRequest;
use jujubewind::wire::platform::Vm;
use jujubewind::wire::platform::VmList;
use jujubewind::wire::platform::WatchRequest;

use super::Error;
use super::PlatformFaults;
use super::RateLimiter;
use super::Result;
use super::Store;
use super::VmLog;
use super::faults::PlatformSwitch;
use super::watch::Watches;
use crate::http::Call;
use crate::http::Handler;
use crate::http::HangUp;
use crate::http::Reply;
use crate::http::json;
use crate::http::stream;

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Millis = Millis(20);

/// Limits and initial state of the platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Maximum writes per second; further writes are rejected.
    pub writes: u64,
    /// Maximum reads per second, each open watch included; further reads are rejected.
    pub reads: u64,
    /// Initial VM list.
    pub vms: Vec<Vm>,
    /// Initial faults.
    pub faults: PlatformFaults,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            writes: 500,
            reads: 2_000,
            vms: Vec::new(),
            faults: PlatformFaults::default(),
        }
    }
}

#[derive(Debug)]
struct State {
    store: Store,
    watches: Watches,
    vms: VmLog,
    faults: PlatformFaults,
    writes: RateLimiter,
    reads: RateLimiter,
}

#[derive(Debug)]
struct Server {
    clock: Clock,
    state: RefCell<State>,
}

/// Serves the platform on `listener`.
///
/// # Errors
/// The listener cannot be used.
pub async fn serve(listener: TcpListener, options: PlatformOptions) -> io::Result<()> {
    let clock = Clock::start();
    let mut vms = VmLog::default();
    vms.record(MonoTime::ZERO, options.vms);
    let state = RefCell::new(State {
        store: Store::default(),
        watches: Watches::default(),
        vms,
        faults: options.faults,
        writes: RateLimiter::new(options.writes),
        reads: RateLimiter::new(options.reads),
    });
    let server = Rc::new(Server { clock, state });
    compio::runtime::spawn(expire_leases(server.clone())).detach();
    crate::http::serve(listener, server).await
}

/// Expires leases periodically until the server stops.
async fn expire_leases(server: Rc<Server>) {
    let ticks = TimerService::new(server.clock).subscribe(LEASE_CHECK_INTERVAL);
    while let Ok(now) = ticks.recv_async().await {
        let mut state = server.state.borrow_mut();
        state.store.expire(now);
        state.notify();
    }
}

impl Handler for Server {
    async fn handle(self: Rc<Self>, call: Call) -> std::result::Result<Reply, HangUp> {
        if call.path == "/faults" {
            return Ok(self.faults(&call));
        }
        if call.path == "/v1/vms" && call.method == Method::POST {
            return Ok(self.set_vms(&call).unwrap_or_else(|error| error.reply()));
        }
        let slow = self.state.borrow().faults.slow_ms;
        compio::time::sleep(slow.duration()).await;
        let mut state = self.state.borrow_mut();
        if state.faults.down {
            return Err(HangUp);
        }
        let response = state.route(self.clock.now(), &call);
        state.notify();
        if response.is_ok() && is_write(&call.path) && state.faults.drops_response() {
            return Err(HangUp);
        }
        Ok(response.unwrap_or_else(|error| error.reply()))
    }
}

impl Server {
    fn faults(&self, call: &Call) -> Reply {
        let mut state = self.state.borrow_mut();
        if call.method == Method::POST {
            match call.json::<PlatformSwitch>() {
                Ok(update) => update.apply(&mut state.faults),
                Err(error) => return Error::from(error).reply(),
            }
            if state.faults.down {
                state.watches.disconnect_all();
            }
            state.notify();
        }
        json(StatusCode::OK, &state.faults)
    }

    fn set_vms(&self, call: &Call) -> Result<Reply> {
        let list: VmList = call.json()?;
        let now = self.clock.now();
        self.state.borrow_mut().vms.record(now, list.vms.clone());
        Ok(ok(&list))
    }
}

impl State {
    fn route(&mut self, now: MonoTime, call: &Call) -> Result<Reply> {
        self.check_rate(now, &call.path)?;
        self.store.expire(now);
        match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v3/kv/range") => Ok(ok(&self.store.range(&call.json()?)?)),
            (&Method::POST, "/v3/kv/put") => Ok(ok(&self.store.put(&call.json()?)?)),
            (&Method::POST, "/v3/kv/deleterange") => {
                Ok(ok(&self.store.delete_range(&call.json()?)))
            }
            (&Method::POST, "/v3/kv/txn") => {
                let request: TxnRequest = call.json()?;
                Ok(ok(&self.store.txn(&request)?))
            }
            (&Method::POST, "/v3/lease/grant") => Ok(ok(&self.store.grant(now, &call.json()?)?)),
            (&Method::POST, "/v3/lease/keepalive") => {
                let request: LeaseKeepAliveRequest = call.json()?;
                Ok(ok(&self.store.keep_alive(now, request.id.0)))
            }
            (&Method::POST, "/v3/lease/revoke") => {
                let request: LeaseRevokeRequest = call.json()?;
                Ok(ok(&self.store.revoke(now, request.id.0)?))
            }
            (&Method::POST, "/v3/watch") => {
                let request: WatchRequest = call.json()?;
                let lines = self.watches.open(&self.store, &request.create_request);
                Ok(stream("application/json", lines))
            }
            (&Method::GET, "/v1/vms") => {
                let lag = self.faults.vm_lag_ms;
                Ok(ok(&self.vms.read(now, lag)))
            }
            _ => Err(Error::NoRoute),
        }
    }

    fn check_rate(&mut self, now: MonoTime, path: &str) -> Result<()> {
        self.watches.remove_closed();
        let is_admitted = if is_write(path) {
            self.writes.try_acquire(now, 0)
        } else {
            self.reads.try_acquire(now, self.watches.count())
        };
        if is_admitted {
            Ok(())
        } else {
            Err(Error::TooMany)
        }
    }

    fn notify(&mut self) {
        if !self.faults.freeze_watches {
            self.watches.notify(&self.store);
        }
    }
}

fn is_write(path: &str) -> bool {
    path.starts_with("/v3/lease/")
        || ["/v3/kv/put", "/v3/kv/deleterange", "/v3/kv/txn"].contains(&path)
}

fn ok<T: serde::Serialize>(body: &T) -> Reply {
    json(StatusCode::OK, body)
}
