//! The agent's task: it owns the state, and everything else tells it what happens.

use std::collections::HashMap;
use std::rc::Rc;

use compio::net::TcpListener;
use flume::Receiver;
use flume::Sender;
use rand::Rng;

use super::Command;
use super::Core;
use super::admin::Admin;
use super::engine_client::EngineClient;
use super::message::Message;
use super::server::Server;
use super::service_client::ServiceClient;
use crate::daemon;
use crate::http;
use crate::membership::Machine;
use crate::membership::Member;
use crate::membership::Outgoing;
use crate::membership::Role;
use crate::membership::Seed;
use crate::membership::limits::PERIOD;
use crate::metrics::AgentMetrics;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc;
use crate::rpc::Agent;
use crate::rpc::GossipLink;
use crate::rpc::message::AgentStatus;
use crate::rpc::message::Call;
use crate::rpc::message::CallReply;
use crate::rpc::message::Chunk;
use crate::rpc::message::Hold;
use crate::rpc::message::HoldReply;
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
use crate::wire::engine::CacheChange;
use crate::wire::engine::CacheEvents;

/// How often attempts are looked over.
const TICK: Millis = Millis(50);
/// How often the engine is asked what it runs.
const LIST_EVERY: Millis = Millis(500);

/// What the last replies are given to leave the process.
const FLUSH: Millis = Millis(300);

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
    stop_at: Option<MonoTime>,
    members: Machine,
    gossip: GossipLink,
    beat: MonoTime,
}

/// Serves until the process is stopped.
///
/// # Errors
/// An address cannot be bound, or the HTTP client cannot be set up.
pub async fn run(settings: AgentSettings) -> anyhow::Result<()> {
    let (tx, rx) = flume::unbounded();
    let listener = TcpListener::bind(settings.listen).await?;
    let node = settings.node.clone();
    crate::event!(
        info,
        "listening",
        node = node,
        addr = listener.local_addr()?
    );
    compio::runtime::spawn(rpc::serve(listener, Server::new(tx.clone()).serve())).detach();
    let admin = TcpListener::bind(settings.admin).await?;
    compio::runtime::spawn(http::serve(admin, Rc::new(Admin::new(tx.clone())))).detach();
    compio::runtime::spawn(forward_stop(tx.clone())).detach();
    let timer = TimerService::new(Clock::start());
    compio::runtime::spawn(forward_ticks(timer.subscribe(TICK), tx.clone())).detach();
    let mut daemon = Daemon::new(settings, timer.clock(), tx)?;
    while let Ok(message) = rx.recv_async().await {
        daemon.handle(message);
        if daemon.drained() {
            break;
        }
    }
    // Work that still arrives is refused: were it left unread, nobody could tell that it never ran.
    let late = async {
        while let Ok(message) = rx.recv_async().await {
            daemon.handle(message);
        }
    };
    let _ = compio::time::timeout(FLUSH.duration(), late).await;
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
        let members = Machine::new(me, &settings.entries, rand::rng().next_u64());
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
            stop_at: None,
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
                    self.metrics.refused(refusal.reason);
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
                let messages = self.members.answered(now, &news);
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
                self.metrics.strays(commands.len());
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

    /// Refuses new work; a second request to stop changes nothing.
    fn leave(&mut self, now: MonoTime) {
        if self.stop_at.is_none() {
            crate::event!(
                info,
                "leaving",
                node = self.settings.node,
                open = self.core.open()
            );
            self.core.leave();
            let notices = self.members.leave(now);
            self.send(notices);
            self.stop_at = Some(now.after(self.settings.drain));
        }
    }

    /// Whether a stop was asked for and nothing is left to wait for.
    fn drained(&self) -> bool {
        let Some(stop_at) = self.stop_at else {
            return false;
        };
        let quiet = self.core.open() == 0 && self.waiters.is_empty() && !self.core.unread();
        quiet || self.clock.now() >= stop_at
    }

    fn pull(&mut self, now: MonoTime, pull: Pull, reply: Sender<PullReply>) {
        if let Some(answer) = self.core.pull(now, &pull) {
            let _ = reply.send(answer);
            return;
        }
        let until = now.after(pull.wait);
        let waiter = Waiter { pull, reply, until };
        self.waiters.insert(waiter.pull.envelope.attempt, waiter);
    }

    /// Holds a part at the scheduler, then at the engine; both must agree.
    fn hold(&mut self, now: MonoTime, ask: &Hold, reply: Sender<HoldReply>) {
        let Client::Engine(client) = &self.client else {
            let _ = reply.send(HoldReply::Refused(no_engine()));
            return;
        };
        if let Some(refusal) = self.core.hold(now, ask) {
            self.metrics.refused(refusal.reason);
            let _ = reply.send(HoldReply::Refused(refusal));
            return;
        }
        let client = client.clone();
        let messages = self.messages.clone();
        let (attempt, amount) = (ask.envelope.attempt, ask.amount);
        let work = async move {
            if client.hold(attempt, amount).await {
                let _ = reply.send(HoldReply::Held);
                return;
            }
            let _ = messages.send(Message::Unheld(attempt));
            let _ = reply.send(HoldReply::Refused(Refusal {
                reason: Reason::NoMemory,
                retry: HOLD_RETRY,
            }));
        };
        compio::runtime::spawn(work).detach();
    }

    fn call(&mut self, call: Call, reply: Sender<CallReply>) {
        let Client::Service(client) = &self.client else {
            let _ = reply.send(CallReply::Refused(no_engine()));
            return;
        };
        if let Some(refusal) = self.core.begin_call(&call) {
            self.metrics.refused(refusal.reason);
            let _ = reply.send(CallReply::Refused(refusal));
            return;
        }
        let client = client.clone();
        let messages = self.messages.clone();
        let work = async move {
            let answer = client.call(&call).await;
            let _ = reply.send(answer);
            let ended = Message::CallEnded(call.envelope.attempt);
            let _ = messages.send_async(ended).await;
        };
        compio::runtime::spawn(work).detach();
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
        if now >= self.listed.after(LIST_EVERY) {
            self.listed = now;
            if let Client::Engine(client) = &self.client {
                let seen = self.core.cached().seen();
                compio::runtime::spawn(client.clone().list()).detach();
                compio::runtime::spawn(client.clone().cache_events(seen)).detach();
            }
        }
    }

    fn answer_late_waiters(&mut self, now: MonoTime) {
        let late: Vec<AttemptId> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| now >= waiter.until)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in late {
            if let Some(waiter) = self.waiters.remove(&attempt) {
                let empty = Chunk {
                    attempt,
                    offset: waiter.pull.offset,
                    tokens: Vec::new(),
                    end: None,
                };
                let _ = waiter.reply.send(PullReply::Chunk(empty));
            }
        }
    }

    fn execute(&mut self, now: MonoTime, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Wake(attempt) => {
                    if let Some(waiter) = self.waiters.remove(&attempt) {
                        self.pull(now, waiter.pull, waiter.reply);
                    }
                }
                order => self.order(order),
            }
        }
    }

    /// Sends an order to the engine; its outcome comes back as a message.
    fn order(&self, order: Command) {
        let Client::Engine(client) = &self.client else {
            return;
        };
        let client = client.clone();
        let work = async move {
            match order {
                Command::Submit(start, priority) => client.generate(*start, priority).await,
                Command::Export(attempt) => client.export(attempt).await,
                Command::Import(attempt, handle) => client.import(attempt, handle).await,
                Command::Drop(handle) => client.drop_handle(handle).await,
                Command::Stop(attempt) => client.cancel(attempt).await,
                Command::Release(attempt) => client.release(attempt).await,
                Command::Wake(_) => {}
            }
        };
        compio::runtime::spawn(work).detach();
    }

    /// Takes the engine's cache events, whose numbers tell of gaps.
    fn cached(&mut self, events: &CacheEvents) {
        let cached = self.core.cached();
        for event in &events.events {
            let stored = event.kind == CacheChange::Stored;
            cached.note(event.seq, event.block.0, stored);
        }
    }

    /// Refuses new work once entries tell that the platform lists this VM as leaving.
    fn heed_list(&mut self) {
        if self.members.is_leaving() && !self.core.leaving() {
            crate::event!(info, "listed_as_leaving", node = self.settings.node);
            self.core.leave();
        }
    }

    fn send(&self, messages: Vec<Outgoing>) {
        let replies = self.messages.clone();
        self.gossip.send(messages, move |answer| {
            let _ = replies.send(Message::Answered(Box::new(answer)));
        });
    }

    fn status(&self) -> AgentStatus {
        AgentStatus {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            domain: self.settings.domain.clone(),
            models: self.settings.models.clone(),
            leaving: self.core.leaving(),
            attempts: self.core.open() as u64,
            reserved: self.core.reserved(),
            capacity: self.settings.memory,
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
