//! Catalogue replication: sends the follower's queries to the store and to peers.

use std::sync::Arc;

use flume::Sender;
use rand::RngExt;
use rand::rngs::StdRng;

use super::message::Message;
use super::reader;
use super::state::State;
use crate::catalogue::Catalogue;
use crate::catalogue::CatalogueStore;
use crate::catalogue::Head;
use crate::catalogue::follow::Answer;
use crate::catalogue::follow::Follower;
use crate::catalogue::follow::Output;
use crate::catalogue::follow::Query;
use crate::catalogue::follow::Source;
use crate::catalogue::follow::Update;
use crate::catalogue::follow::children;
use crate::membership::Member;
use crate::rpc::Connections;
use crate::rpc::PeerClient;
use crate::rpc::Room;
use crate::rpc::message::Gossip;
use crate::settings::EntrySettings;
use crate::store;
use crate::timer::TimerService;
use crate::types::Incarnation;
use crate::types::Millis;
use crate::types::MonoTime;
use crate::types::NodeId;
use crate::types::Revision;

/// Interval between checks for unanswered catalogue queries.
pub(super) const QUERY_CHECK_INTERVAL: Millis = Millis(250);
/// Timeout of calls to the store.
const STORE_TIMEOUT: Millis = Millis(1_000);
/// Timeout of calls to other entries.
const PEER_TIMEOUT: Millis = Millis(1_000);
/// Maximum random delay of the first call, so that processes started together do not call at once.
const START_JITTER: Millis = Millis(1_000);
/// How many entries of a failure domain compete for its store reader lease.
const LEASE_CANDIDATES: usize = 2;

/// The catalogue follower with its connections to the store and to peers.
pub(super) struct Following {
    pub(super) follower: Follower,
    /// When the store or another process last reported its revision.
    pub(super) confirmed: Option<MonoTime>,
    remote: Option<CatalogueStore>,
    peers: Connections<PeerClient>,
    /// Tells the store reader whether this entry competes for the lease.
    candidacy: Option<Sender<bool>>,
    /// When this entry may first compete for the lease; until then it discovers other entries.
    candidate_after: MonoTime,
}

impl Following {
    /// Starts to fetch the catalogue, if the settings name the platform.
    pub(super) fn start(
        settings: &EntrySettings,
        incarnation: Incarnation,
        timer: &TimerService,
        messages: &Sender<Message>,
        rng: &mut StdRng,
        room: Room,
    ) -> anyhow::Result<Self> {
        let now = timer.clock().now();
        let jitter = Millis(rng.random_range(0..START_JITTER.get()));
        let mut following = Self {
            follower: Follower::default(),
            confirmed: None,
            remote: None,
            peers: Connections::new(room),
            candidacy: None,
            candidate_after: now.after(START_JITTER.saturating_add(jitter)),
        };
        if let Some(addr) = settings.platform {
            let client = store::Client::new(addr, STORE_TIMEOUT)?;
            following.remote = Some(CatalogueStore::new(client.clone()));
            // No peers are known yet; they announce their revisions by gossip.
            following.follower.boot(now, &[], jitter);
            let candidacy = reader::start(settings, incarnation, timer, client, messages.clone());
            following.candidacy = Some(candidacy);
        }
        Ok(following)
    }

    /// Sends a query to the store or to a peer; its answer arrives as a message.
    fn send_query(
        &self,
        source: Source,
        query: Query,
        peer: Option<&Member>,
        messages: Sender<Message>,
    ) {
        let remote = self.remote.clone();
        let peers = self.peers.clone();
        let addr = peer.map(|peer| peer.addr);
        let work = async move {
            let answer = match (&source, remote, addr) {
                (Source::Store, Some(remote), _) => remote.answer(&query).await,
                (Source::Peer(_), _, Some(addr)) => {
                    let call =
                        async |peer: &PeerClient, context| peer.catalogue(context, query).await;
                    let answer = peers.call(addr, PEER_TIMEOUT, call).await;
                    answer.unwrap_or(Answer::Silence)
                }
                _ => Answer::Silence,
            };
            let _ = messages.send(Message::CatalogueAnswer(source, answer));
        };
        compio::runtime::spawn(work).detach();
    }

    /// Pushes an update to another entry; a lost one is fetched after the next gossip message.
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
    /// Records the revision that another process reports in its gossip.
    pub(super) fn note_revision(&mut self, now: MonoTime, gossip: &Gossip) {
        if gossip.revision == Revision::ZERO {
            return;
        }
        self.following.confirmed = Some(now);
        let outputs = self
            .following
            .follower
            .handle_revision(now, &gossip.sender, gossip.revision);
        self.execute(outputs);
    }

    /// Handles a catalogue update that another process pushed.
    pub(super) fn handle_offer(&mut self, now: MonoTime, source: &Source, update: Update) {
        self.following.confirmed = Some(now);
        let outputs = self.following.follower.handle_update(now, source, update);
        self.execute(outputs);
    }

    /// Handles the answer to a catalogue query.
    pub(super) fn handle_answer(&mut self, now: MonoTime, source: &Source, answer: Answer) {
        if answer != Answer::Silence {
            self.following.confirmed = Some(now);
        }
        let outputs = self.following.follower.handle_answer(now, source, answer);
        self.execute(outputs);
    }

    /// Handles the head that the store reader saw; this entry becomes the root of the relay tree.
    pub(super) fn handle_store_head(&mut self, now: MonoTime, head: Option<Head>) {
        match head {
            Some(head) => {
                let update = Update {
                    head,
                    texts: Vec::new(),
                    root: self.settings.node.clone(),
                };
                self.handle_offer(now, &Source::Store, update);
            }
            None => self.handle_answer(now, &Source::Store, Answer::Head(None)),
        }
    }

    /// Retries unanswered catalogue queries.
    pub(super) fn follow_catalogue(&mut self, now: MonoTime) {
        let outputs = self.following.follower.tick(now);
        self.execute(outputs);
    }

    /// Tells the store reader whether this entry competes for the failure domain's lease.
    pub(super) fn update_candidacy(&self) {
        let Some(candidacy) = &self.following.candidacy else {
            return;
        };
        let me = self.members.me();
        let domain = self.members.view().in_domain(&me.domain);
        let mut entries: Vec<&NodeId> = domain
            .filter(|member| member.role == me.role && !member.leaving)
            .map(|member| &member.node)
            .collect();
        entries.sort();
        let is_first = entries
            .iter()
            .take(LEASE_CANDIDATES)
            .any(|node| **node == me.node);
        let is_settled = self.now() >= self.following.candidate_after;
        let _ = candidacy.send(is_first && is_settled && self.stage.is_serving());
    }

    fn execute(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Query(source, query) => self.send_query(source, query),
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

    fn send_query(&self, source: Source, query: Query) {
        let peer = match &source {
            Source::Peer(node) => self.members.view().get(node),
            Source::Store => None,
        };
        let messages = self.messages.clone();
        self.following.send_query(source, query, peer, messages);
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
