//! The agent's task: it owns the state, and everything else tells it what happens.

mod backend;
mod standing;
mod waiting;

use std::collections::HashMap;
use std::rc::Rc;

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
use crate::http::ServerHandle;
use crate::lifecycle::Stage;
use crate::membership::Member;
use crate::membership::MembershipState;
use crate::membership::Role;
use crate::membership::Seed;
use crate::membership::limits::PERIOD;
use crate::metrics::AgentMetrics;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc;
use crate::rpc::Agent;
use crate::rpc::GossipLink;
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

/// How often attempts are looked over.
const TICK: Millis = Millis(50);
/// How often the engine is asked what it runs.
const LIST_EVERY: Millis = Millis(500);

/// When to ask again for a part that the engine has no room for yet.
const HOLD_RETRY: Millis = Millis(50);

/// An entry that waits for tokens.
struct Waiter {
    pull: Pull,
    reply: Sender<PullReply>,
    until: MonoTime,
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
    client: Client,
    waiters: HashMap<AttemptId, Waiter>,
    messages: Sender<Message>,
    listed: MonoTime,
    metrics: AgentMetrics,
    stage: Stage,
    stop_at: MonoTime,
    members: MembershipState,
    gossip: GossipLink,
    beat: MonoTime,
}

/// Serves until the process is stopped.
///
/// # Errors
/// An address cannot be bound, or the HTTP client cannot be set up.
pub async fn run(settings: AgentSettings) -> anyhow::Result<()> {
    let (tx, rx) = flume::unbounded();
    let listener = daemon::listen(&settings.node, settings.listen).await?;
    compio::runtime::spawn(rpc::serve(listener, Server::new(tx.clone()).serve())).detach();
    let admin = TcpListener::bind(settings.admin).await?;
    compio::runtime::spawn(http::serve(
        admin,
        Rc::new(Admin::new(tx.clone())),
        ServerHandle::new(),
    ))
    .detach();
    compio::runtime::spawn(forward_stop(tx.clone())).detach();
    let timer = TimerService::new(Clock::start());
    compio::runtime::spawn(forward_ticks(timer.subscribe(TICK), tx.clone())).detach();
    let mut daemon = Daemon::new(settings, timer.clock(), tx)?;
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
    fn new(
        settings: AgentSettings,
        clock: Clock,
        messages: Sender<Message>,
    ) -> anyhow::Result<Self> {
        let incarnation = daemon::incarnation();
        let client = match settings.backend {
            Backend::Engine { addr, .. } => {
                Client::Engine(EngineClient::new(addr, messages.clone())?)
            }
            Backend::Service { addr } => Client::Service(ServiceClient::new(addr)?),
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
            clock,
            client,
            waiters: HashMap::new(),
            messages,
            listed: MonoTime::ZERO,
            metrics: AgentMetrics::default(),
            stage: Stage::serving(),
            stop_at: MonoTime::NEVER,
            members,
            gossip: GossipLink::default(),
            beat: MonoTime::ZERO,
        })
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Quote(ask, reply) => {
                let _ = reply.send(self.core.quote(now, &ask));
            }
            Message::Hold(ask, reply) => self.hold(now, &ask, reply),
            Message::Unheld(attempt) => {
                let commands = self.core.unhold(now, attempt);
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
            Message::Cancel(ask, reply) => {
                let uptime = now.since(MonoTime::ZERO);
                let (answer, commands) = self.core.cancel(now, uptime, &ask);
                let _ = reply.send(answer);
                self.execute(now, commands);
            }
            Message::Call(call, reply) => self.call(call, reply),
            Message::CallEnded(attempt) => self.core.end_call(now, attempt),
            Message::Gossip(news, reply) => {
                let _ = reply.send(self.members.receive(now, &news));
            }
            Message::Answered(news) => {
                let messages = self.members.handle_answer(now, &news);
                self.send(messages);
            }
            Message::Status(reply) => {
                let _ = reply.send(self.status());
            }
            Message::Engine(attempt, event) => {
                let commands = self.core.engine(now, attempt, event);
                self.execute(now, commands);
            }
            Message::Listed(list) => {
                let commands = self.core.reconcile(now, &list.into());
                self.metrics.count_orphans(commands.len());
                self.execute(now, commands);
            }
            Message::Cached(events) => self.cached(&events),
            Message::Tick => self.tick(now),
            Message::Leave => self.leave(now),
            Message::Metrics(reply) => {
                let text = self.metrics.encode(self.core.open(), self.core.reserved());
                let _ = reply.send(text);
            }
        }
    }

    fn tick(&mut self, now: MonoTime) {
        if now >= self.beat.after(PERIOD) {
            self.beat = now;
            let messages = self.members.tick(now);
            self.send(messages);
            self.heed_list();
        }
        let commands = self.core.tick(now);
        self.execute(now, commands);
        self.answer_late_waiters(now);
        self.drain(now);
        if now >= self.listed.after(LIST_EVERY) {
            self.listed = now;
            if let Client::Engine(client) = &self.client {
                let seen = self.core.cached().seen();
                compio::runtime::spawn(client.clone().list()).detach();
                compio::runtime::spawn(client.clone().cache_events(seen)).detach();
            }
        }
    }
}

/// What is asked of the backend server is not what it does.
fn no_engine() -> Refusal {
    Refusal {
        reason: Reason::UnknownModel,
        retry: Millis::ZERO,
    }
}
