//! Following the catalogue: the follower's questions and answers on their way.

use std::sync::Arc;

use flume::Sender;
use rand::RngExt;
use rand::rngs::StdRng;

use super::message::Message;
use super::reader;
use super::state::State;
use crate::catalogue::Catalogue;
use crate::catalogue::Head;
use crate::catalogue::Remote;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Ask;
use crate::catalogue::follow::Follower;
use crate::catalogue::follow::Output;
use crate::catalogue::follow::Source;
use crate::catalogue::follow::Update;
use crate::catalogue::follow::children;
use crate::membership::Member;
use crate::rpc::Connections;
use crate::rpc::PeerClient;
use crate::rpc::message::Gossip;
use crate::settings::EntrySettings;
use crate::store;
use crate::timer::TimerService;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Revision;

/// How often unanswered questions are looked after.
pub(super) const PERIOD: Millis = Millis(250);
/// The longest wait for the store.
const STORE_TIMEOUT: Millis = Millis(1_000);
/// The longest wait for another process.
const PEER_TIMEOUT: Millis = Millis(1_000);
/// The span over which the first calls of processes that start at once are spread.
const SPREAD: Millis = Millis(1_000);
/// The entries of a failure domain that stand for its lease of the reader.
const STANDING: usize = 2;

/// The catalogue's follower and its ways to the store and to peers.
pub(super) struct Following {
    pub(super) follower: Follower,
    /// When the store or another process last spoke of its revision.
    pub(super) confirmed: Option<MonoTime>,
    remote: Option<Remote>,
    peers: Connections<PeerClient>,
    stands: Option<Sender<bool>>,
    /// From when this entry may stand for the lease: it first learns who else is there.
    stand_after: MonoTime,
}

impl Following {
    /// Begins to look for the catalogue, if the settings name the platform.
    pub(super) fn start(
        settings: &EntrySettings,
        incarnation: Incarnation,
        timer: &TimerService,
        messages: &Sender<Message>,
        rng: &mut StdRng,
    ) -> anyhow::Result<Self> {
        let now = timer.clock().now();
        let spread = Millis(rng.random_range(0..SPREAD.get()));
        let mut following = Self {
            follower: Follower::default(),
            confirmed: None,
            remote: None,
            peers: Connections::default(),
            stands: None,
            stand_after: now.after(SPREAD.saturating_add(spread)),
        };
        if let Some(addr) = settings.platform {
            let client = store::Client::new(addr, STORE_TIMEOUT)?;
            following.remote = Some(Remote::new(client.clone()));
            following.follower.boot(now, &[], spread);
            let stands = reader::start(settings, incarnation, timer, client, messages.clone());
            following.stands = Some(stands);
        }
        Ok(following)
    }

    fn ask(&self, source: Source, ask: Ask, peer: Option<&Member>, messages: Sender<Message>) {
        let remote = self.remote.clone();
        let peers = self.peers.clone();
        let addr = peer.map(|peer| peer.addr);
        let work = async move {
            let answer = match (&source, remote, addr) {
                (Source::Store, Some(remote), _) => remote.answer(&ask).await,
                (Source::Peer(_), _, Some(addr)) => {
                    let call =
                        async |peer: &PeerClient, context| peer.catalogue(context, ask).await;
                    let answer = peers.call(addr, PEER_TIMEOUT, call).await;
                    answer.unwrap_or(Answer::Silence)
                }
                _ => Answer::Silence,
            };
            let _ = messages.send(Message::CatalogueAnswer(source, answer));
        };
        compio::runtime::spawn(work).detach();
    }

    fn offer(&self, to: &Member, own: NodeId, update: Update) {
        let peers = self.peers.clone();
        let addr = to.addr;
        let work = async move {
            let call = async |peer: &PeerClient, context| peer.offer(context, own, update).await;
            let _ = peers.call(addr, PEER_TIMEOUT, call).await;
        };
        compio::runtime::spawn(work).detach();
    }
}

impl State {
    /// Notes the revision that another process says it has.
    pub(super) fn heard(&mut self, now: MonoTime, news: &Gossip) {
        if news.revision == Revision::ZERO {
            return;
        }
        self.following.confirmed = Some(now);
        let outputs = self
            .following
            .follower
            .heard(now, &news.sender, news.revision);
        self.carry_out(outputs);
    }

    /// Takes what was passed on unasked.
    pub(super) fn offered(&mut self, now: MonoTime, source: &Source, update: Update) {
        self.following.confirmed = Some(now);
        let outputs = self.following.follower.offered(now, source, update);
        self.carry_out(outputs);
    }

    /// Takes the answer to a question.
    pub(super) fn learnt(&mut self, now: MonoTime, source: &Source, answer: Answer) {
        if answer != Answer::Silence {
            self.following.confirmed = Some(now);
        }
        let outputs = self.following.follower.answered(now, source, answer);
        self.carry_out(outputs);
    }

    /// Takes the head that the reader saw; the relay tree grows from here.
    pub(super) fn store_head(&mut self, now: MonoTime, head: Option<Head>) {
        match head {
            Some(head) => {
                let update = Update {
                    head,
                    texts: Vec::new(),
                    root: self.settings.node.clone(),
                };
                self.offered(now, &Source::Store, update);
            }
            None => self.learnt(now, &Source::Store, Answer::Head(None)),
        }
    }

    /// Looks after unanswered questions.
    pub(super) fn follow(&mut self, now: MonoTime) {
        let outputs = self.following.follower.tick(now);
        self.carry_out(outputs);
    }

    /// Tells the reader whether this entry stands for the failure domain's lease.
    pub(super) fn stand(&self) {
        let Some(stands) = &self.following.stands else {
            return;
        };
        let me = self.members.me();
        let domain = self.members.view().in_domain(&me.domain);
        let mut entries: Vec<&NodeId> = domain
            .filter(|member| member.role == me.role && !member.leaving)
            .map(|member| &member.node)
            .collect();
        entries.sort();
        let is_first = entries.iter().take(STANDING).any(|node| **node == me.node);
        let is_settled = self.now() >= self.following.stand_after;
        let _ = stands.send(is_first && is_settled && self.stage.is_serving());
    }

    fn carry_out(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Ask(source, ask) => self.ask(source, ask),
                Output::Install(catalogue) => self.install(catalogue),
                Output::Relay(update) => self.relay(&update),
                Output::Refuse(source, error) => {
                    crate::event!(
                        error,
                        "catalogue_refused",
                        source = format!("{source:?}"),
                        error = error,
                    );
                }
            }
        }
    }

    fn ask(&self, source: Source, ask: Ask) {
        let peer = match &source {
            Source::Peer(node) => self.members.view().get(node),
            Source::Store => None,
        };
        let messages = self.messages.clone();
        self.following.ask(source, ask, peer, messages);
    }

    fn install(&mut self, catalogue: Arc<Catalogue>) {
        let revision = catalogue.revision();
        self.catalogue = Some(catalogue);
        self.members.set_revision(revision);
        crate::event!(info, "catalogue_in_force", revision = revision);
    }

    fn relay(&self, update: &Update) {
        let me = self.members.me();
        let view = self.members.view();
        let domain = view.in_domain(&me.domain);
        let entries: Vec<NodeId> = domain
            .filter(|member| member.role == me.role)
            .map(|member| member.node.clone())
            .collect();
        for child in children(&entries, &update.root, &me.node) {
            if let Some(member) = view.get(&child) {
                self.following
                    .offer(member, me.node.clone(), update.clone());
            }
        }
    }
}
