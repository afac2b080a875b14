//! Answers to the calls of other processes.

use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;

use super::Member;
use super::Role;
use super::Status;
use super::View;
use super::exchange;
use super::heartbeats::entry_sum;
use super::table::Table;
use crate::rpc::message::BucketDigests;
use crate::rpc::message::DomainSummary;
use crate::rpc::message::Gossip;
use crate::rpc::message::GossipBody;
use crate::types::DomainId;
use crate::types::MonoTime;

/// On average, one in this many heartbeats of agents is answered with an entry of another failure
/// domain.
const HEARTBEATS_PER_FOREIGN_ENTRY: u32 = 8;

/// The content of an answer; it becomes [`GossipBody::Answer`].
#[derive(Clone, Debug, Default)]
pub(super) struct Reply {
    pub(super) ask: bool,
    pub(super) pulses: Vec<DomainSummary>,
    pub(super) detail: Option<BucketDigests>,
    pub(super) records: Vec<Member>,
}

impl Reply {
    /// Creates an answer with records only.
    pub(super) fn with_records(records: Vec<Member>) -> Self {
        Self {
            records,
            ..Self::default()
        }
    }

    /// Answers a heartbeat with the digest `sum`: the sender's record if others suspect it or mark
    /// it as leaving, and for an agent the entries of `domain` if its digest differs.
    pub(super) fn to_heartbeat(
        view: &View,
        domain: &DomainId,
        heartbeat: &Gossip,
        sum: u64,
        rng: &mut impl Rng,
    ) -> Self {
        let Some(sender) = view.get(&heartbeat.sender) else {
            return Self {
                ask: true,
                ..Self::default()
            };
        };
        let known = (sender.incarnation, sender.version);
        let mut reply = Self {
            ask: known < (heartbeat.incarnation, heartbeat.version),
            ..Self::default()
        };
        if sender.status != Status::Alive || sender.leaving {
            reply.records.push(sender.clone());
        }
        if sender.role == Role::Agent {
            reply
                .records
                .extend(entries_for_agent(view, domain, sum, rng));
        }
        reply
    }

    /// Answers an exchange: this side's digests, and the failure domain to repair.
    pub(super) fn to_exchange(
        now: MonoTime,
        table: &Table,
        theirs: &[DomainSummary],
        rng: &mut impl Rng,
    ) -> Self {
        Self {
            pulses: exchange::domain_pulses(now, &table.view, &table.activity),
            detail: exchange::find_difference(&table.view, theirs, rng),
            ..Self::default()
        }
    }
}

impl From<Reply> for GossipBody {
    fn from(reply: Reply) -> Self {
        Self::Answer {
            ask: reply.ask,
            pulses: reply.pulses,
            detail: reply.detail,
            records: reply.records,
        }
    }
}

fn entries_for_agent(view: &View, domain: &DomainId, sum: u64, rng: &mut impl Rng) -> Vec<Member> {
    let is_entry = |member: &&Member| member.role == Role::Entry && !member.is_provisional();
    let mut records = Vec::new();
    if entry_sum(view, domain) != sum {
        let siblings = view.records().filter(is_entry);
        let siblings = siblings.filter(|entry| entry.domain == *domain);
        records = exchange::sample_records(siblings.cloned().collect(), rng);
    }
    if rng.random_ratio(1, HEARTBEATS_PER_FOREIGN_ENTRY) {
        let foreign = view.entries().filter(|entry| entry.domain != *domain);
        records.extend(foreign.filter(is_entry).choose(rng).cloned());
    }
    records
}
