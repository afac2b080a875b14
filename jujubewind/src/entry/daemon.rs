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
use crate::http::BodyBudget;
use crate::http::ServerHandle;
use crate::memory::Purpose;
use crate::rpc;
use crate::rpc::Peer;
use crate::rpc::Room;
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
    let memory = settings.max_memory;
    let room = Room {
        bodies: BodyBudget::new(memory.held()),
        clock: timer.clock(),
        purpose: Purpose::Response,
    };
    let agents = AgentClients::new(settings.node.clone(), incarnation, room.clone());
    let (control, ended) = control::start(settings.clone(), incarnation, &timer, &room)?;
    let peers = TcpListener::bind(settings.peer).await?;
    let peer_server = PeerServer::new(control.clone());
    let peer_room = Room {
        purpose: Purpose::Request,
        ..room.clone()
    };
    let peer_limits = daemon::connection_limits(memory.peers());
    let serving_peers = rpc::serve(peers, peer_server.serve(), peer_room, peer_limits);
    compio::runtime::spawn(serving_peers).detach();
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
    let serving = ServerHandle::new();
    serving.set_connection_limits(daemon::connection_limits(memory.connections()));
    let api = Api {
        settings,
        clock: timer.clock(),
        agents,
        control,
        dispatcher,
        spending: spending.clone(),
        bodies: room.bodies,
        serving: serving.clone(),
    };
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
