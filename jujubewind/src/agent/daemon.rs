//! The agent's main task: it owns the state and receives all input as messages.

mod backend;
mod lifecycle;
mod long_poll;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use compio::net::TcpListener;
use flume::Receiver;
use flume::Sender;
use rand::Rng;

use super::Core;
use super::admin::Admin;
use super::engine_client::EngineClient;
use super::message::Message;
use super::server::Server;
use super::service_client::ServiceClient;
use crate::daemon;
use crate::http;
use crate::http::BodyBudget;
use crate::http::ServerHandle;
use crate::lifecycle::Stage;
use crate::membership::Member;
use crate::membership::MembershipState;
use crate::membership::Role;
use crate::membership::Seed;
use crate::membership::limits::PERIOD;
use crate::memory::Account;
use crate::memory::Purpose;
use crate::metrics::AgentMetrics;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc;
use crate::rpc::Agent;
use crate::rpc::GossipLink;
use crate::rpc::Room;
use crate::rpc::message::Pull;
use crate::rpc::message::PullReply;
use crate::rpc::message::StartReply;
use crate::settings::AgentSettings;
use crate::settings::Backend;
use crate::timer::Clock;
use crate::timer::TimerService;
use crate::types::AttemptId;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;

/// How often deadlines and expiry are checked.
const TICK: Millis = Millis(50);
/// How often the engine's list of sequences is fetched.
const LIST_INTERVAL: Millis = Millis(500);

/// Retry delay for a part that the engine has no memory for yet.
const HOLD_RETRY_DELAY: Millis = Millis(50);

/// A pull that waits for tokens.
struct PendingPull {
    pull: Pull,
    reply: Sender<PullReply>,
    expires: MonoTime,
}

/// The backend server's client.
enum Client {
    Engine(EngineClient),
    Service(ServiceClient),
}

/// The state of the agent's task.
struct Daemon {
    settings: AgentSettings,
    incarnation: Incarnation,
    clock: Clock,
    core: Core,
    account: Arc<Account>,
    client: Client,
    pending_pulls: HashMap<AttemptId, PendingPull>,
    messages: Sender<Message>,
    last_listing: MonoTime,
    metrics: AgentMetrics,
    stage: Stage,
    drain_deadline: MonoTime,
    members: MembershipState,
    gossip: GossipLink,
    last_gossip: MonoTime,
}

/// Serves until the process is stopped.
///
/// # Errors
/// An address cannot be bound, or the HTTP client cannot be set up.
pub async fn run(settings: AgentSettings) -> anyhow::Result<()> {
    let (tx, rx) = flume::unbounded();
    let timer = TimerService::new(Clock::start());
    let memory = settings.max_memory;
    let room = Room {
        bodies: BodyBudget::new(memory.held()),
        clock: timer.clock(),
        purpose: Purpose::Request,
    };
    let listener = daemon::listen(&settings.node, settings.listen).await?;
    let server = Server::new(tx.clone(), room.bodies.account().clone());
    let limits = daemon::connection_limits(memory.peers());
    compio::runtime::spawn(rpc::serve(listener, server.serve(), room.clone(), limits)).detach();
    let admin = TcpListener::bind(settings.admin).await?;
    let admin_handle = ServerHandle::new();
    admin_handle.set_connection_limits(daemon::connection_limits(memory.peers()));
    compio::runtime::spawn(http::serve(
        admin,
        Rc::new(Admin::new(tx.clone())),
        admin_handle,
    ))
    .detach();
    compio::runtime::spawn(forward_stop(tx.clone())).detach();
    compio::runtime::spawn(forward_ticks(timer.subscribe(TICK), tx.clone())).detach();
    let mut daemon = Daemon::new(settings, room, tx)?;
    while let Ok(message) = rx.recv_async().await {
        daemon.handle(message);
        if daemon.stage.is_over() {
            break;
        }
    }
    Ok(())
}

async fn forward_stop(messages: Sender<Message>) {
    while daemon::stop_signal().await.is_ok() {
        if messages.send_async(Message::Leave).await.is_err() {
            return;
        }
    }
}

async fn forward_ticks(ticks: Receiver<MonoTime>, messages: Sender<Message>) {
    while ticks.recv_async().await.is_ok() {
        if messages.send_async(Message::Tick).await.is_err() {
            return;
        }
    }
}

impl Daemon {
    fn new(settings: AgentSettings, room: Room, messages: Sender<Message>) -> anyhow::Result<Self> {
        let incarnation = daemon::incarnation();
        let client = match settings.backend {
            Backend::Engine { addr, .. } => Client::Engine(EngineClient::new(
                addr,
                messages.clone(),
                room.bodies.account().clone(),
            )?),
            Backend::Service { addr } => {
                Client::Service(ServiceClient::new(addr, room.bodies.clone(), room.clock)?)
            }
        };
        let seed = Seed {
            node: settings.node.clone(),
            role: Role::Agent,
            addr: settings.listen,
            domain: settings.domain.clone(),
            leaving: false,
        };
        let me = Member::new(seed, settings.models.clone(), incarnation);
        let members = MembershipState::new(me, &settings.entries, rand::rng().next_u64());
        Ok(Self {
            core: Core::new(settings.clone(), incarnation)?,
            settings,
            incarnation,
            clock: room.clock,
            account: room.bodies.account().clone(),
            client,
            pending_pulls: HashMap::new(),
            messages,
            last_listing: MonoTime::ZERO,
            metrics: AgentMetrics::default(),
            stage: Stage::serving(),
            drain_deadline: MonoTime::NEVER,
            members,
            gossip: GossipLink::new(&Room {
                purpose: Purpose::Response,
                ..room
            }),
            last_gossip: MonoTime::ZERO,
        })
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Quote(request, reply) => {
                let _ = reply.send(self.core.quote(now, &request));
            }
            Message::Hold(request, reply) => self.hold(now, &request, reply),
            Message::HoldFailed(attempt) => {
                let commands = self.core.release_hold(now, attempt);
                self.execute(now, commands);
            }
            Message::Start(start, reply) => {
                let (answer, commands) = self.core.start(now, *start);
                if let StartReply::Refused(refusal) = &answer {
                    self.metrics.count_refusal(refusal.reason);
                }
                let _ = reply.send(answer);
                self.execute(now, commands);
            }
            Message::Pull(pull, reply) => self.pull(now, pull, reply),
            Message::Cancel(request, reply) => {
                let uptime = now.since(MonoTime::ZERO);
                let (answer, commands) = self.core.cancel(now, uptime, &request);
                let _ = reply.send(answer);
                self.execute(now, commands);
            }
            Message::Call(call, reply) => self.call(now, call, reply),
            Message::CallEnded {
                attempt,
                sent,
                limit,
            } => self.core.end_call(now, attempt, sent, limit),
            Message::Gossip(message, reply) => {
                let _ = reply.send(self.members.receive(now, &message));
            }
            Message::GossipAnswer(answer) => {
                let messages = self.members.handle_answer(now, &answer);
                self.send(messages);
            }
            Message::Status(reply) => {
                let _ = reply.send(self.status());
            }
            Message::Engine(attempt, event) => {
                let commands = self.core.handle_engine_event(now, attempt, event);
                self.execute(now, commands);
            }
            Message::Sequences(list) => {
                let commands = self.core.reconcile(now, &list.into());
                self.metrics.count_orphans(commands.len());
                self.execute(now, commands);
            }
            Message::CacheEvents(events) => self.apply_cache_events(&events),
            Message::Tick => self.tick(now),
            Message::Leave => self.leave(now),
            Message::Metrics(reply) => drop(reply.send(self.metrics_text())),
        }
    }

    fn metrics_text(&self) -> String {
        let (open, reserved) = (self.core.open_count(), self.core.reserved());
        self.metrics.encode(open, reserved, self.account.used())
    }

    fn tick(&mut self, now: MonoTime) {
        if now >= self.last_gossip.after(PERIOD) {
            self.last_gossip = now;
            let messages = self.members.tick(now);
            self.send(messages);
            self.check_vm_list();
        }
        let commands = self.core.tick(now);
        self.execute(now, commands);
        self.answer_expired_pulls(now);
        self.drain(now);
        if now >= self.last_listing.after(LIST_INTERVAL) {
            self.last_listing = now;
            if let Client::Engine(client) = &self.client {
                let last_seq = self.core.cached_blocks().last_seq();
                compio::runtime::spawn(client.clone().list()).detach();
                compio::runtime::spawn(client.clone().cache_events(last_seq)).detach();
            }
        }
    }
}

/// The refusal of an operation that this kind of backend server does not support.
fn unsupported_backend() -> Refusal {
    Refusal {
        reason: Reason::UnknownModel,
        retry: Millis::ZERO,
    }
}
