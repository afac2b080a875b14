//! Starts the entry's sockets and tasks.

use std::rc::Rc;

use compio::net::TcpListener;

use super::agent_clients::AgentClients;
use super::api::Api;
use super::control;
use super::peer::PeerServer;
use super::service::Claims;
use super::service::ServiceDispatcher;
use super::spending::Spending;
use crate::claims::Holder;
use crate::daemon;
use crate::http;
use crate::http::ServerHandle;
use crate::rpc;
use crate::rpc::Peer;
use crate::settings::EntrySettings;
use crate::timer::Clock;
use crate::timer::TimerService;
use crate::types::Millis;

/// How often a closing server is checked for open connections.
const CLOSE_POLL_INTERVAL: Millis = Millis(20);

/// Runs an entry until the process is stopped.
///
/// # Errors
/// An address cannot be bound, or the catalogue folder is faulty.
pub async fn run(settings: EntrySettings) -> anyhow::Result<()> {
    let timer = TimerService::new(Clock::start());
    let incarnation = daemon::incarnation();
    let agents = AgentClients::new(settings.node.clone(), incarnation);
    let (control, ended) = control::start(settings.clone(), incarnation, &timer)?;
    let peers = TcpListener::bind(settings.peer).await?;
    let peer_server = PeerServer::new(control.clone());
    compio::runtime::spawn(rpc::serve(peers, peer_server.serve())).detach();
    let listener = daemon::listen(&settings.node, settings.listen).await?;
    let holder = Holder {
        node: settings.node.clone(),
        incarnation,
    };
    let claims = match settings.platform {
        Some(platform) => Some(Claims::start(platform, holder, &timer)?),
        None => None,
    };
    let spending = claims
        .clone()
        .map(|claims| Spending::start(claims, &timer, control.clone()));
    let dispatcher = ServiceDispatcher::new(timer.clone(), agents.clone(), control.clone(), claims);
    let closing = http::END_LIMIT.saturating_add(settings.arrival);
    let api = Api::new(
        settings,
        timer.clock(),
        agents,
        control,
        dispatcher,
        spending.clone(),
    );
    let serving = ServerHandle::new();
    compio::runtime::spawn(http::serve(listener, Rc::new(api), serving.clone())).detach();
    let _ = ended.recv_async().await;
    if let Some(spending) = spending {
        spending.close().await;
    }
    close(&serving, &timer, closing).await;
    Ok(())
}

/// Closes the listener and answers what has reached it, for at most `limit`.
async fn close(serving: &ServerHandle, timer: &TimerService, limit: Millis) {
    serving.close();
    serving.end_accepting();
    let started = timer.clock().now();
    while serving.connections() > 0 && timer.clock().now().since(started) < limit {
        timer.sleep(CLOSE_POLL_INTERVAL).await;
    }
}
