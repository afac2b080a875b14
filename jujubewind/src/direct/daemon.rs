//! The entry's start and its stop.

mod metrics_page;
mod readiness;

use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::TcpListener;

use self::metrics_page::MetricsPage;
use self::readiness::Readiness;
use super::Control;
use super::CoreSettings;
use super::Dialect;
use super::EntryState;
use super::Gateway;
use super::GatewaySettings;
use super::Message;
use super::PeerLink;
use super::Pool;
use super::Shared;
use super::StalenessLimits;
use super::Table;
use super::control;
use crate::daemon;
use crate::daemon::HeldStop;
use crate::http;
use crate::http::Serving;
use crate::timer::TimerService;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::NodeId;

/// How often a stop looks whether requests are in hand.
const STOP_TICK: Millis = Millis(50);

/// What an entry needs to know to start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub node: NodeId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready: SocketAddr,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Where peers send datagrams.
    pub peer: SocketAddr,
    /// For how long a proof of the key table is trusted.
    pub staleness_limits: StalenessLimits,
    /// The share of decisions.
    pub core: CoreSettings,
    /// The bounds of requests.
    pub gateway: GatewaySettings,
    /// How long new requests are taken after a stop signal.
    pub accept: Millis,
    /// How long after a stop signal the process ends at the latest.
    pub grace: Millis,
}

/// A running entry: what feeds it with tables and lists holds on to this.
#[derive(Clone, Debug)]
pub struct Daemon {
    /// Its control task.
    pub control: Control,
    /// What requests read.
    pub state: Rc<EntryState>,
    /// Its timers.
    pub timer: TimerService,
    /// Where callers connect.
    pub listen: SocketAddr,
    serving: Serving,
}

impl Daemon {
    /// Binds the sockets of an entry and starts its tasks; the future that is returned ends with it.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn start<D: Dialect>(
        settings: Settings,
        life: Incarnation,
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
        let control = control::start(
            (settings.node.clone(), life),
            settings.core.clone(),
            &timer,
            shared.clone(),
            outbound,
        );
        compio::runtime::spawn(link.run(outbox, control.clone())).detach();
        let gateway = Rc::new(Gateway::new(
            dialect,
            control.clone(),
            shared.clone(),
            timer.clock(),
            settings.gateway.clone(),
        ));
        let serving = Serving::new();
        let ready = Rc::new(Readiness {
            state: state.clone(),
        });
        let listener = TcpListener::bind(settings.ready).await?;
        compio::runtime::spawn(http::serve(listener, ready, Serving::new())).detach();
        if let Some(addr) = settings.metrics {
            let page = MetricsPage {
                shared: shared.clone(),
                gateway: gateway.clone(),
            };
            compio::runtime::spawn(page.serve(addr)).detach();
        }
        let listener = daemon::listen(&settings.node, settings.listen).await?;
        let listen = listener.local_addr()?;
        compio::runtime::spawn(http::serve(listener, gateway.clone(), serving.clone())).detach();
        let entry = Self {
            control,
            state,
            timer,
            listen,
            serving,
        };
        let ended = entry.clone().until_stopped(settings, gateway);
        Ok((entry, ended))
    }

    /// Puts a table in force unless a newer one is.
    pub fn configure(&self, table: Table) {
        let (version, routes) = (table.version, table.routes());
        self.serving.set_header(table.limits.idle);
        if !self.state.put(table) {
            return;
        }
        crate::event!(info, "table_in_force", version = version, routes = routes);
        if let Some(table) = self.state.table() {
            self.control.send(Message::Configure(table));
        }
    }

    async fn until_stopped<D: Dialect>(self, settings: Settings, gateway: Rc<Gateway<D>>) {
        let _held = HeldStop::new().await;
        if let Err(error) = daemon::stop_signal().await {
            crate::event!(error, "stop_signal_not_heard", error = error);
            return std::future::pending().await;
        }
        let began = self.timer.clock().now();
        crate::event!(info, "stop_began", open = gateway.open());
        self.state.stop();
        loop {
            self.timer.sleep(STOP_TICK).await;
            let since = self.timer.clock().now().since(began);
            if since >= settings.accept {
                gateway.refuse();
                self.serving.close();
            }
            let over = since >= settings.accept && gateway.open() == 0;
            if over || since >= settings.grace {
                break;
            }
        }
        self.timer.sleep(STOP_TICK).await;
        crate::event!(info, "stopped", open = gateway.open());
    }
}
