//! The answers to the calls of other processes.

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
use crate::rpc::message::Detail;
use crate::rpc::message::Gossip;
use crate::rpc::message::News;
use crate::rpc::message::Pulse;
use crate::types::DomainId;
use crate::types::MonoTime;

/// One in so many heartbeats is answered with an entry of another failure domain.
const FOREIGN_SHARE: u32 = 8;

/// An answer in the making.
#[derive(Clone, Debug, Default)]
pub(super) struct Reply {
    pub(super) ask: bool,
    pub(super) pulses: Vec<Pulse>,
    pub(super) detail: Option<Detail>,
    pub(super) records: Vec<Member>,
}

impl Reply {
    /// An answer that gives records and no more.
    pub(super) fn of(records: Vec<Member>) -> Self {
        Self {
            records,
            ..Self::default()
        }
    }

    /// The answer to a heartbeat with the digest `sum`: what others say of the sender, and for an
    /// agent the entries of `domain` if it knows other ones.
    pub(super) fn to_heartbeat(
        view: &View,
        domain: &DomainId,
        news: &Gossip,
        sum: u64,
        rng: &mut impl Rng,
    ) -> Self {
        let Some(sender) = view.get(&news.sender) else {
            return Self {
                ask: true,
                ..Self::default()
            };
        };
        let known = (sender.incarnation, sender.version);
        let mut reply = Self {
            ask: known < (news.incarnation, news.version),
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

    /// The answer to an exchange: what this side has, and where it differs.
    pub(super) fn to_exchange(
        now: MonoTime,
        table: &Table,
        theirs: &[Pulse],
        rng: &mut impl Rng,
    ) -> Self {
        Self {
            pulses: exchange::pulses(now, &table.view, &table.pulses),
            detail: exchange::detail(&table.view, theirs, rng),
            ..Self::default()
        }
    }
}

impl From<Reply> for News {
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
        records = exchange::bounded(siblings.cloned().collect(), rng);
    }
    if rng.random_ratio(1, FOREIGN_SHARE) {
        let foreign = view.entries().filter(|entry| entry.domain != *domain);
        records.extend(foreign.filter(is_entry).choose(rng).cloned());
    }
    records
}
