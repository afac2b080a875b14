//! The control task.

use std::sync::Arc;

use flume::Receiver;
use flume::Sender;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::Control;
use super::follow;
use super::follow::Following;
use super::message::Message;
use super::tasks;
use crate::catalogue::Catalogue;
use crate::entry::EntryStatus;
use crate::entry::MemberStatus;
use crate::lifecycle::DrainLimits;
use crate::lifecycle::OpenRequests;
use crate::lifecycle::Stage;
use crate::limits::Limiter;
use crate::membership::Member;
use crate::membership::MembershipState;
use crate::membership::Outgoing;
use crate::membership::Role;
use crate::membership::Seed;
use crate::membership::limits::PERIOD;
use crate::metrics::EntryMetrics;
use crate::metrics::HeldMetrics;
use crate::retry;
use crate::retry::RetryBudget;
use crate::routing;
use crate::routing::Router;
use crate::rpc::GossipLink;
use crate::rpc::Room;
use crate::rpc::message::Gossip;
use crate::settings::EntrySettings;
use crate::timer::TimerService;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::Revision;

/// How long a starting entry waits to discover an agent before it is ready without any.
const DISCOVERY_TIMEOUT: Millis = Millis(10_000);

/// The shared state; each part is a state machine of its own.
pub(super) struct State {
    pub(super) settings: EntrySettings,
    pub(super) catalogue: Option<Arc<Catalogue>>,
    pub(super) members: MembershipState,
    pub(super) router: Router,
    pub(super) limiter: Limiter,
    pub(super) budget: RetryBudget,
    pub(super) metrics: EntryMetrics,
    pub(super) stage: Stage,
    pub(super) load: OpenRequests,
    pub(super) rng: StdRng,
    pub(super) following: Following,
    timer: TimerService,
    gossip: GossipLink,
    pub(super) messages: Sender<Message>,
}

/// Starts the task; the returned receiver gets a message when the entry has stopped.
///
/// # Errors
/// The catalogue folder cannot be read or is invalid, or the store client cannot be created.
pub fn start(
    settings: EntrySettings,
    incarnation: Incarnation,
    timer: &TimerService,
    room: &Room,
) -> anyhow::Result<(Control, Receiver<()>)> {
    let (tx, rx) = flume::unbounded();
    let mut state = State::new(settings, incarnation, timer.clone(), tx.clone(), room)?;
    let (ended, end) = flume::bounded(1);
    let ticks = tasks::forward_ticks(timer.subscribe(PERIOD), tx.clone(), || Message::Tick);
    compio::runtime::spawn(ticks).detach();
    let ticks = timer.subscribe(follow::QUERY_CHECK_INTERVAL);
    let ticks = tasks::forward_ticks(ticks, tx.clone(), || Message::FollowCatalogue);
    compio::runtime::spawn(ticks).detach();
    compio::runtime::spawn(tasks::forward_stop(tx.clone())).detach();
    let task = async move {
        while let Ok(message) = rx.recv_async().await {
            state.handle(message);
            if state.stage.is_over() {
                break;
            }
        }
        let _ = ended.send(());
    };
    compio::runtime::spawn(task).detach();
    Ok((Control::new(tx), end))
}

impl State {
    fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        timer: TimerService,
        messages: Sender<Message>,
        room: &Room,
    ) -> anyhow::Result<Self> {
        let catalogue = match &settings.catalogue {
            Some(dir) => Some(Arc::new(Catalogue::read_dir(dir)?)),
            None => None,
        };
        let seed = Seed {
            node: settings.node.clone(),
            role: Role::Entry,
            addr: settings.peer,
            domain: settings.domain.clone(),
            leaving: false,
        };
        let me = Member::new(seed, Vec::new(), incarnation);
        let mut rng = StdRng::seed_from_u64(rand::rng().next_u64());
        let following = Following::start(
            &settings,
            incarnation,
            &timer,
            &messages,
            &mut rng,
            room.clone(),
        )?;
        Ok(Self {
            members: MembershipState::new(me, &settings.entries, rng.next_u64()),
            router: Router::new(settings.domain.clone(), routing::Settings::default()),
            limiter: Limiter::new(),
            budget: RetryBudget::new(retry::Settings::default()),
            metrics: EntryMetrics::default(),
            stage: Stage::serving(),
            load: OpenRequests::NONE,
            settings,
            catalogue,
            rng,
            following,
            timer,
            gossip: GossipLink::new(room),
            messages,
        })
    }

    pub(super) fn now(&self) -> MonoTime {
        self.timer.clock().now()
    }

    /// Handles one message; ignores callers that no longer wait for the answer.
    fn handle(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Admit(admission, reply) => drop(reply.send(self.admit(now, &admission))),
            Message::Release(permit, output) => self.release(&permit, output),
            Message::Candidates(job, parts, excluded, reply) => {
                drop(reply.send(self.candidates(&job, parts, &excluded)));
            }
            Message::Pick(job, parts, quotes, reply) => {
                drop(reply.send(self.pick(&job, parts, &quotes)));
            }
            Message::Retry(attempts, reply) => {
                drop(reply.send(self.budget.retry(now, attempts)));
            }
            Message::Services(name, reply) => drop(reply.send(self.services(&name))),
            Message::IsAlive(holder, reply) => drop(reply.send(self.is_alive(&holder))),
            Message::SetCredit(entry, credit) => self.metrics.set_credit(&entry, credit),
            Message::BeginWork(deadline) => self.load.begin(deadline),
            Message::EndWork => self.load.end(),
            Message::Lookup(org, name, reply) => drop(reply.send(self.lookup(&org, &name))),
            Message::Names(key, reply) => drop(reply.send(self.names(key.as_deref()))),
            Message::Gossip(gossip, reply) => {
                self.note_revision(now, &gossip);
                drop(reply.send(self.members.receive(now, &gossip)));
            }
            Message::GossipReply(gossip) => self.handle_gossip_reply(now, &gossip),
            Message::Catalogue(request, reply) => {
                drop(reply.send(self.following.follower.answer(&request)));
            }
            Message::CatalogueOffer(source, update) => self.handle_offer(now, &source, *update),
            Message::CatalogueAnswer(source, answer) => self.handle_answer(now, &source, answer),
            Message::StoreHead(head) => self.handle_store_head(now, head),
            Message::FollowCatalogue => self.follow_catalogue(now),
            Message::VmList(seeds) => self.handle_vm_list(now, &seeds),
            Message::Tick => self.tick(now),
            Message::Stop => self.stop(now),
            Message::CountRefusal(reason) => self.metrics.count_refusal(reason),
            Message::CountRetry(reason) => self.metrics.count_retry(reason),
            Message::RecordServed(fingerprint, tokens) => {
                self.metrics.record_served(tokens);
                self.members.suspects_mut().record_completion(fingerprint);
                self.push_suspects(now);
            }
            Message::RecordCrash(fingerprint, crash, alone) => {
                let suspects = self.members.suspects_mut();
                suspects.record_crash(now, fingerprint, &crash, alone);
                self.push_suspects(now);
            }
            Message::RecordFirstToken(prompt, class, span) => {
                self.metrics.record_first_token(prompt, class, span);
            }
            Message::CountDropped => self.metrics.count_dropped(),
            Message::IsReady(reply) => drop(reply.send(self.is_ready(now))),
            Message::Status(reply) => drop(reply.send(self.status())),
            Message::Metrics(held, reply) => drop(reply.send(self.metrics_text(held))),
        }
    }

    /// Handles the reply to this process's gossip.
    fn handle_gossip_reply(&mut self, now: MonoTime, gossip: &Gossip) {
        self.note_revision(now, gossip);
        let messages = self.members.handle_answer(now, gossip);
        self.send(messages);
    }

    /// Handles the platform's list of VMs, one source of membership among others; it may lag.
    fn handle_vm_list(&mut self, now: MonoTime, seeds: &[Seed]) {
        let messages = self.members.merge_vm_list(now, seeds);
        self.send(messages);
    }

    fn tick(&mut self, now: MonoTime) {
        let messages = self.members.tick(now);
        self.send(messages);
        self.stage.tick(now, self.load);
        self.update_candidacy();
    }

    /// Whether callers can be served; an entry that has just started first discovers agents.
    fn is_ready(&self, now: MonoTime) -> bool {
        let knows_agents = self.members.view().agents().next().is_some();
        let waited = now.since(MonoTime::ZERO) >= DISCOVERY_TIMEOUT;
        self.catalogue.is_some() && self.stage.is_serving() && (knows_agents || waited)
    }

    /// Sends changes of suspect requests to peers at once.
    pub(super) fn push_suspects(&mut self, now: MonoTime) {
        let messages = self.members.take_urgent(now);
        self.send(messages);
    }

    fn stop(&mut self, now: MonoTime) {
        crate::event!(info, "stopping", node = self.settings.node);
        self.stage
            .stop(now, DrainLimits::entry(self.settings.grace));
        self.update_candidacy();
        let messages = self.members.leave(now);
        self.send(messages);
    }

    fn send(&self, messages: Vec<Outgoing>) {
        let replies = self.messages.clone();
        self.gossip.send(messages, move |answer| {
            let _ = replies.send(Message::GossipReply(Box::new(answer)));
        });
    }

    fn status(&self) -> EntryStatus {
        let view = self.members.view();
        let me = self.members.me();
        let members = view.living().map(|member| MemberStatus {
            node: member.node.clone(),
            role: member.role.to_string(),
            domain: member.domain.clone(),
            leaving: member.leaving,
            suspect: view.is_suspect(member),
        });
        EntryStatus {
            node: me.node.clone(),
            incarnation: me.incarnation,
            domain: me.domain.clone(),
            revision: self.revision(),
            confirmed: self.following.confirmed.map(|at| self.now().since(at)),
            stopping: !self.stage.is_serving(),
            members: members.collect(),
        }
    }

    fn metrics_text(&self, held: HeldMetrics) -> String {
        let members = self.members.view().living().count();
        let confirmed = self.following.confirmed.map(|at| self.now().since(at));
        self.metrics.set_held(held);
        self.metrics.encode(self.revision(), confirmed, members)
    }

    fn revision(&self) -> Revision {
        let catalogue = self.catalogue.as_deref();
        catalogue.map_or(Revision::ZERO, Catalogue::revision)
    }
}
