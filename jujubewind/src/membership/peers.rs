//! An entry's talk with other entries: what changed, and what differs.

use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;

use super::Member;
use super::Outgoing;
use super::exchange;
use super::limits::EAGER;
use super::limits::FANOUT;
use super::local::Local;
use crate::conviction::Suspect;
use crate::rpc::message::Detail;
use crate::rpc::message::News;
use crate::rpc::message::Pulse;
use crate::types::MonoTime;
use crate::types::NodeId;

/// The share of the talk that stays in the own failure domain, where links are short.
const NEAR_SHARE: f64 = 0.5;

/// Whom to tell what, and whether much is missing here.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    behind: bool,
}

impl Peers {
    /// The messages of one period: a comparison, and what changed lately.
    pub(super) fn tick(
        &self,
        now: MonoTime,
        local: &mut Local,
        rng: &mut impl Rng,
    ) -> Vec<Outgoing> {
        let mut out = Vec::new();
        let rounds = if self.behind { FANOUT } else { 1 };
        for _ in 0..rounds {
            let pulses = exchange::pulses(now, &local.table.view, &local.table.pulses);
            let cases = local.register.sum();
            let news = News::Exchange {
                pulses,
                cases,
                records: take_rumors(local),
            };
            let suspects = local.register.take(now);
            out.extend(to_peer(local, news, suspects, rng));
        }
        for _ in 0..FANOUT {
            let records = take_rumors(local);
            let suspects = local.register.take(now);
            if !records.is_empty() || !suspects.is_empty() {
                out.extend(to_peer(local, News::Push { records }, suspects, rng));
            }
        }
        out
    }

    /// The repair that a peer's answer calls for.
    pub(super) fn answered(
        &mut self,
        local: &Local,
        peer: &NodeId,
        pulses: &[Pulse],
        detail: Option<&Detail>,
        rng: &mut impl Rng,
    ) -> Option<Outgoing> {
        if !pulses.is_empty() {
            self.behind = detail.is_some();
        }
        let news = exchange::repair(&local.table.view, detail?, rng)?;
        let target = local.table.view.get(peer)?;
        Some(local.send(target, news))
    }
}

/// What cannot wait for the next period: new suspects, and members that begin to leave.
pub(super) fn urgent(now: MonoTime, local: &mut Local, rng: &mut impl Rng) -> Vec<Outgoing> {
    let entries = local.table.view.entries().count();
    let suspects = local.register.take_urgent(now, entries);
    let records = local.table.take_urgent();
    if suspects.is_empty() && records.is_empty() {
        return Vec::new();
    }
    let push = |_| {
        let records = records.clone();
        to_peer(local, News::Push { records }, suspects.clone(), rng)
    };
    (0..EAGER).filter_map(push).collect()
}

fn take_rumors(local: &mut Local) -> Vec<Member> {
    let table = &mut local.table;
    table.rumors.take(&table.view)
}

fn to_peer(
    local: &Local,
    news: News,
    suspects: Vec<Suspect>,
    rng: &mut impl Rng,
) -> Option<Outgoing> {
    let near = rng.random_bool(NEAR_SHARE);
    let Local { me, table, .. } = local;
    let others = || table.view.entries().filter(|entry| entry.node != me.node);
    let siblings = others().filter(|entry| near && entry.domain == me.domain);
    let peer = siblings.choose(rng).or_else(|| others().choose(rng));
    let mut call = local.send(peer?, news);
    call.message.suspects = suspects;
    Some(call)
}
