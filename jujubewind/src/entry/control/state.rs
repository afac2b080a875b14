//! The task that owns the entry's shared state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use flume::Sender;

use super::Admission;
use super::Control;
use super::Permit;
use super::message::Message;
use crate::catalogue::Catalogue;
use crate::entry::Failure;
use crate::entry::Job;
use crate::entry::link::Link;
use crate::entry::request::Target;
use crate::metrics::EntryMetrics;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::rpc::AgentClient;
use crate::rpc::message::AgentStatus;
use crate::rpc::message::QuoteReply;
use crate::settings::EntrySettings;
use crate::types::Millis;
use crate::types::ModelId;
use crate::types::NodeId;
use crate::types::OrgId;

/// When to come back when nobody serves a model.
const RETRY_NO_BACKEND: Millis = Millis(1_000);
/// How often agents are asked for their status.
const POLL_EVERY: Millis = Millis(500);
/// How long an agent's status is waited for.
const POLL_TIMEOUT: Millis = Millis(1_000);

/// The shared state.
struct State {
    catalogue: Option<Arc<Catalogue>>,
    agents: BTreeMap<SocketAddr, AgentStatus>,
    active: BTreeMap<OrgId, u64>,
    metrics: EntryMetrics,
}

/// Starts the task and returns the way to ask it.
///
/// # Errors
/// The catalogue folder does not hold a sound catalogue.
pub fn start(settings: &EntrySettings, link: &Link) -> anyhow::Result<Control> {
    let catalogue = match &settings.catalogue {
        Some(dir) => Some(Arc::new(Catalogue::read_dir(dir)?)),
        None => None,
    };
    let mut state = State {
        catalogue,
        agents: BTreeMap::new(),
        active: BTreeMap::new(),
        metrics: EntryMetrics::default(),
    };
    let (tx, rx) = flume::unbounded();
    for addr in settings.agents.clone() {
        compio::runtime::spawn(poll(link.clone(), addr, tx.clone())).detach();
    }
    let task = async move {
        while let Ok(message) = rx.recv_async().await {
            state.handle(message);
        }
    };
    compio::runtime::spawn(task).detach();
    Ok(Control::new(tx))
}

async fn poll(link: Link, addr: SocketAddr, messages: Sender<Message>) {
    loop {
        let call = async |agent: &AgentClient, context| agent.status(context).await;
        let status = link.agents().call(addr, POLL_TIMEOUT, call).await;
        let status = status.ok().flatten();
        if messages.send(Message::Learned(addr, status)).is_err() {
            return;
        }
        compio::time::sleep(POLL_EVERY.duration()).await;
    }
}

impl State {
    fn handle(&mut self, message: Message) {
        match message {
            Message::Admit(admission, reply) => {
                let _ = reply.send(self.admit(&admission));
            }
            Message::Release(org) => self.release(&org),
            Message::Candidates(job, excluded, reply) => {
                let _ = reply.send(self.candidates(&job, &excluded));
            }
            Message::Pick(quotes, reply) => {
                let _ = reply.send(pick(quotes));
            }
            Message::Retry(reply) => {
                let _ = reply.send(Ok(()));
            }
            Message::Services(name, reply) => {
                let _ = reply.send(self.serving(&name));
            }
            Message::Names(key, reply) => {
                let _ = reply.send(self.names(key.as_deref()));
            }
            Message::Learned(addr, Some(status)) => {
                self.agents.insert(addr, status);
            }
            Message::Learned(addr, None) => {
                self.agents.remove(&addr);
            }
            Message::Failed(reason) => self.metrics.refused(reason),
            Message::Dropped => self.metrics.dropped(),
            Message::Ready(reply) => {
                let _ = reply.send(self.catalogue.is_some());
            }
            Message::Metrics(reply) => {
                let _ = reply.send(self.metrics.encode());
            }
        }
    }

    fn owner(&self, key: Option<&str>) -> Result<(&Catalogue, OrgId), Failure> {
        let none = Failure::not_run(Reason::NoCatalogue, RETRY_NO_BACKEND);
        let catalogue = self.catalogue.as_deref().ok_or(none)?;
        let owner = key.and_then(|key| catalogue.owner_of(key)).cloned();
        let denied = Failure::not_run(Reason::Unauthorized, Millis::ZERO);
        Ok((catalogue, owner.ok_or(denied)?))
    }

    fn admit(&mut self, admission: &Admission) -> Result<Permit, Failure> {
        let (catalogue, org) = self.owner(admission.key.as_deref())?;
        let unknown = Failure::not_run(Reason::UnknownModel, Millis::ZERO);
        let entry = catalogue
            .entry_for(&org, &admission.name)
            .ok_or(unknown)?
            .clone();
        *self.active.entry(org.clone()).or_default() += 1;
        Ok(Permit { org, entry })
    }

    fn release(&mut self, org: &OrgId) {
        if let Some(count) = self.active.get_mut(org) {
            *count = count.saturating_sub(1);
        }
    }

    fn names(&self, key: Option<&str>) -> Result<Vec<ModelId>, Failure> {
        let (catalogue, org) = self.owner(key)?;
        Ok(catalogue.names_of(&org).cloned().collect())
    }

    fn candidates(&self, job: &Job, excluded: &[NodeId]) -> Result<Vec<Target>, Refusal> {
        let mut targets = self.serving(&job.model);
        targets.retain(|target| !excluded.contains(&target.node));
        if targets.is_empty() {
            return Err(no_backend());
        }
        Ok(targets)
    }

    fn serving(&self, name: &ModelId) -> Vec<Target> {
        self.agents
            .iter()
            .filter(|(_, status)| !status.leaving && status.models.contains(name))
            .map(|(addr, status)| Target {
                node: status.node.clone(),
                addr: *addr,
            })
            .collect()
    }
}

fn pick(quotes: Vec<(Target, QuoteReply)>) -> Result<Target, Refusal> {
    let mut best: Option<(Millis, Target)> = None;
    let mut refusal = no_backend();
    for (target, quote) in quotes {
        match quote {
            QuoteReply::Estimate { first, .. } => {
                if best.as_ref().is_none_or(|(time, _)| first < *time) {
                    best = Some((first, target));
                }
            }
            QuoteReply::Refused(why) => refusal = why,
        }
    }
    best.map(|(_, target)| target).ok_or(refusal)
}

fn no_backend() -> Refusal {
    Refusal {
        reason: Reason::NoBackend,
        retry: RETRY_NO_BACKEND,
    }
}
