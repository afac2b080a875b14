//! Startup and graceful shutdown of an entry.

mod metrics_page;
mod readiness;

use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpListener;
use flume::Receiver;

use self::metrics_page::MetricsPage;
use self::readiness::Readiness;
use super::Control;
use super::CoreSettings;
use super::Dialect;
use super::EntryState;
use super::Feed;
use super::Gateway;
use super::GatewaySettings;
use super::Message;
use super::PeerLink;
use super::Pool;
use super::Shared;
use super::StalenessLimits;
use super::Table;
use super::control;
use crate::conviction::ConvictionChange;
use crate::daemon;
use crate::daemon::StopSignalGuard;
use crate::http;
use crate::http::ConnectionLimits;
use crate::http::ServerHandle;
use crate::timer::TimerService;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;

/// How often a shutdown checks for open requests.
const STOP_POLL_INTERVAL: Millis = Millis(50);
/// How long before the end of the grace period open requests are answered, so that their callers get
/// the answer.
const ANSWER_MARGIN: Millis = Millis(300);
/// The most changes of convictions that wait to be kept.
const MAX_CONVICTIONS: usize = 512;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub node: NodeId,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// The address for metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// The address for the peers' datagrams.
    pub peer: SocketAddr,
    /// The ages of the table from which API keys are refused and readiness fails.
    pub staleness_limits: StalenessLimits,
    /// What callers' connections may take together.
    pub connections: ConnectionLimits,
    /// Settings of the placement of requests.
    pub core: CoreSettings,
    /// Settings of the gateway.
    pub gateway: GatewaySettings,
    /// How long new requests are accepted after a stop signal.
    pub accept: Millis,
    /// The longest time from a stop signal to the end of the process.
    pub grace: Millis,
}

/// A handle to a running entry, for whoever supplies its configuration and its server lists.
#[derive(Clone, Debug)]
pub struct Daemon {
    /// Its control task.
    pub control: Control,
    /// The state that request tasks read.
    pub state: Rc<EntryState>,
    /// Its link to the entries that follow the same store.
    pub feed: Rc<Feed>,
    /// Its timers.
    pub timer: TimerService,
    /// What has to outlast all entries.
    pub convictions: Receiver<ConvictionChange>,
    /// The address for callers.
    pub listen: SocketAddr,
    serving: ServerHandle,
}

impl Daemon {
    /// Binds the sockets of an entry and starts its tasks; the returned future completes when the
    /// entry has stopped.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn start<D: Dialect>(
        settings: Settings,
        incarnation: Incarnation,
        timer: TimerService,
        dialect: D,
    ) -> std::io::Result<(Self, impl Future<Output = ()>)> {
        let shared = Shared {
            state: Rc::default(),
            pool: Pool::new(timer.clock()),
            metrics: Rc::default(),
        };
        let state = shared.state.clone();
        state.set_staleness_limits(settings.staleness_limits);
        let link = PeerLink::bind(settings.peer).await?;
        let (outbound, outbox) = PeerLink::channel();
        let (keep, convictions) = flume::bounded(MAX_CONVICTIONS);
        let control = control::start(
            (settings.node.clone(), incarnation),
            settings.core.clone(),
            &timer,
            shared.clone(),
            outbound.clone(),
            keep,
        );
        let feed = Feed::new(&shared, outbound);
        compio::runtime::spawn(link.run(outbox, control.clone(), feed.clone())).detach();
        let gateway = Rc::new(Gateway::new(
            dialect,
            control.clone(),
            shared.clone(),
            timer.clock(),
            settings.gateway.clone(),
        ));
        let serving = ServerHandle::new();
        serving.set_connection_limits(settings.connections);
        let ready = Rc::new(Readiness {
            state: state.clone(),
        });
        let listener = TcpListener::bind(settings.ready).await?;
        compio::runtime::spawn(http::serve(listener, ready, ServerHandle::new())).detach();
        if let Some(addr) = settings.metrics {
            let page = MetricsPage {
                shared: shared.clone(),
                gateway: gateway.clone(),
                serving: serving.clone(),
            };
            compio::runtime::spawn(page.serve(addr)).detach();
        }
        let listener = daemon::listen(&settings.node, settings.listen).await?;
        let listen = listener.local_addr()?;
        compio::runtime::spawn(http::serve(listener, gateway.clone(), serving.clone())).detach();
        let entry = Self {
            control,
            state,
            feed,
            timer,
            convictions,
            listen,
            serving,
        };
        let ended = entry.clone().until_stopped(settings, gateway);
        Ok((entry, ended))
    }

    /// Activates a table unless the current one is as new or newer.
    pub fn configure(&self, table: Table) {
        let (version, routes) = (table.version, table.routes());
        if !self.state.install_table(table) {
            return;
        }
        crate::event!(info, "table_in_force", version = version, routes = routes);
        if let Some(table) = self.state.table() {
            self.serving.set_idle_limit(table.limits.idle);
            self.serving.set_head_limit(table.limits.header);
            self.control.send(Message::Configure(table));
        }
    }

    /// Waits for a stop signal, then accepts requests for `accept` more and serves open requests
    /// until all have ended or `grace` is over, shortly before which those without a response are
    /// answered that they may have run. The listener closes in time for its last callers to be
    /// answered within `grace`.
    async fn until_stopped<D: Dialect>(self, settings: Settings, gateway: Rc<Gateway<D>>) {
        let _guard = StopSignalGuard::new().await;
        if let Err(error) = daemon::stop_signal().await {
            crate::event!(error, "stop_signal_not_heard", error = error);
            return std::future::pending().await;
        }
        let started = self.timer.clock().now();
        crate::event!(info, "stop_began", open = gateway.open());
        self.state.mark_stopping();
        let listen_limit = settings
            .grace
            .saturating_sub(http::END_LIMIT)
            .max(settings.accept);
        loop {
            self.timer.sleep(STOP_POLL_INTERVAL).await;
            let elapsed = self.timer.clock().now().since(started);
            if elapsed >= settings.accept {
                gateway.refuse();
                self.serving.close();
                self.control.send(Message::Drain);
            }
            if elapsed >= listen_limit {
                self.serving.end_accepting();
            }
            if elapsed >= settings.grace.saturating_sub(ANSWER_MARGIN) {
                gateway.end();
            }
            let is_drained = elapsed >= settings.accept && gateway.open() == 0;
            if is_drained || elapsed >= settings.grace {
                break;
            }
        }
        self.serving.end_accepting();
        self.wait_for_connections(started, settings.grace).await;
        crate::event!(info, "stopped", open = gateway.open());
    }

    /// Waits until the connections have read the requests that are arriving and sent their last bytes,
    /// at most until the grace period is over.
    async fn wait_for_connections(&self, started: MonoTime, grace: Millis) {
        loop {
            self.timer.sleep(STOP_POLL_INTERVAL).await;
            let elapsed = self.timer.clock().now().since(started);
            if self.serving.connections() == 0 || elapsed >= grace {
                return;
            }
        }
    }
}
