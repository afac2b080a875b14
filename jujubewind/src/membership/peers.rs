//! Gossip between entries: pushing recent changes and comparing views.

use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;

use super::Member;
use super::Outgoing;
use super::exchange;
use super::limits::FANOUT;
use super::limits::URGENT_FANOUT;
use super::local::Local;
use crate::conviction::Suspect;
use crate::rpc::message::BucketDigests;
use crate::rpc::message::DomainSummary;
use crate::rpc::message::GossipBody;
use crate::types::MonoTime;
use crate::types::NodeId;

/// Share of gossip that stays in the own failure domain, where latency is low.
const LOCAL_SHARE: f64 = 0.5;

/// Gossip state of an entry: whether its view is known to differ from that of its peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    behind: bool,
}

impl Peers {
    /// Returns the messages of one period: exchanges, and pushes of recent changes.
    pub(super) fn tick(
        &self,
        now: MonoTime,
        local: &mut Local,
        rng: &mut impl Rng,
    ) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let rounds = if self.behind { FANOUT } else { 1 };
        for _ in 0..rounds {
            let pulses = exchange::domain_pulses(now, &local.table.view, &local.table.activity);
            let cases = local.suspects.sum();
            let body = GossipBody::Exchange {
                pulses,
                cases,
                records: take_rumors(local),
            };
            let suspects = local.suspects.take(now);
            out.extend(message_to_random_peer(local, body, suspects, rng));
        }
        for _ in 0..FANOUT {
            let records = take_rumors(local);
            let suspects = local.suspects.take(now);
            if !records.is_empty() || !suspects.is_empty() {
                out.extend(message_to_random_peer(
                    local,
                    GossipBody::Push { records },
                    suspects,
                    rng,
                ));
            }
        }
        out
    }

    /// Returns the repair for a difference that a peer's answer shows.
    pub(super) fn handle_answer(
        &mut self,
        local: &Local,
        peer: &NodeId,
        pulses: &[DomainSummary],
        detail: Option<&BucketDigests>,
        rng: &mut impl Rng,
    ) -> Option<Outgoing> {
        if !pulses.is_empty() {
            self.behind = detail.is_some();
        }
        let body = exchange::build_repair(&local.table.view, detail?, rng)?;
        let target = local.table.view.get(peer)?;
        Some(local.message_to(target, body))
    }
}

/// Returns the changes that cannot wait for the next period: suspected requests, and members that
/// have started to leave.
pub(super) fn urgent_messages(
    now: MonoTime,
    local: &mut Local,
    rng: &mut impl Rng,
) -> Vec<Outgoing> {
    let entries = local.table.view.entries().count();
    let suspects = local.suspects.take_urgent(now, entries);
    let records = local.table.take_urgent();
    if suspects.is_empty() && records.is_empty() {
        return Vec::new();
    }
    let push = |_| {
        let records = records.clone();
        message_to_random_peer(local, GossipBody::Push { records }, suspects.clone(), rng)
    };
    (0..URGENT_FANOUT).filter_map(push).collect()
}

fn take_rumors(local: &mut Local) -> Vec<Member> {
    let table = &mut local.table;
    table.rumors.take(&table.view)
}

fn message_to_random_peer(
    local: &Local,
    body: GossipBody,
    suspects: Vec<Suspect>,
    rng: &mut impl Rng,
) -> Option<Outgoing> {
    let stay_local = rng.random_bool(LOCAL_SHARE);
    let Local { me, table, .. } = local;
    let others = || table.view.entries().filter(|entry| entry.node != me.node);
    let siblings = others().filter(|entry| stay_local && entry.domain == me.domain);
    let peer = siblings.choose(rng).or_else(|| others().choose(rng));
    let mut call = local.message_to(peer?, body);
    call.message.suspects = suspects;
    Some(call)
}
