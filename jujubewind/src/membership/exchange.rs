//! How two entries compare their views and mend what differs.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::SliceRandom;
use rapidhash::v3::rapidhash_v3;

use super::Member;
use super::Status;
use super::View;
use super::limits::MAX_RECORDS;
use super::pulses::Pulses;
use crate::rpc::message::Detail;
use crate::rpc::message::News;
use crate::rpc::message::Pulse;
use crate::types::DomainId;
use crate::types::MonoTime;
use crate::types::NodeId;

/// The parts into which a failure domain's members are divided for comparison.
pub const BUCKETS: u8 = 16;

/// What this entry has of each failure domain.
pub(super) fn pulses(now: MonoTime, view: &View, pulses: &Pulses) -> Vec<Pulse> {
    let of_domain = |(domain, sum): (&DomainId, u64)| Pulse {
        domain: domain.clone(),
        age: pulses.age(now, domain),
        sum,
    };
    view.sums().map(of_domain).collect()
}

/// The digests of one failure domain that differs from what the other side has, chosen at random.
pub(super) fn detail(view: &View, theirs: &[Pulse], rng: &mut impl Rng) -> Option<Detail> {
    let known: BTreeMap<&DomainId, u64> = theirs.iter().map(|p| (&p.domain, p.sum)).collect();
    let mut differing: Vec<&DomainId> = view
        .sums()
        .filter(|(domain, sum)| known.get(domain).copied().unwrap_or(0) != *sum)
        .map(|(domain, _)| domain)
        .chain(
            known
                .keys()
                .copied()
                .filter(|domain| is_unknown(view, domain)),
        )
        .collect();
    differing.shuffle(rng);
    let domain = (*differing.first()?).clone();
    let sums = bucket_sums(view, &domain);
    Some(Detail { domain, sums })
}

/// The repair that a difference calls for: this side's records in the buckets that differ.
pub(super) fn repair(view: &View, theirs: &Detail, rng: &mut impl Rng) -> Option<News> {
    let ours = bucket_sums(view, &theirs.domain);
    let mut buckets: Vec<u8> = (0..BUCKETS)
        .filter(|i| ours.get(usize::from(*i)) != theirs.sums.get(usize::from(*i)))
        .collect();
    buckets.shuffle(rng);
    let records = bounded(
        in_buckets(view, &theirs.domain, &buckets)
            .cloned()
            .collect(),
        rng,
    );
    let domain = theirs.domain.clone();
    (!buckets.is_empty()).then_some(News::Repair {
        domain,
        buckets,
        records,
    })
}

/// The records in `buckets` that the other side lacks or has an older version of.
pub(super) fn missing(
    view: &View,
    domain: &DomainId,
    buckets: &[u8],
    theirs: &[Member],
    rng: &mut impl Rng,
) -> Vec<Member> {
    let known: BTreeMap<&NodeId, &Member> = theirs.iter().map(|m| (&m.node, m)).collect();
    let lacking = in_buckets(view, domain, buckets).filter(|ours| match known.get(&ours.node) {
        Some(other) => other.merged(ours) != **other,
        None => ours.status != Status::Dead,
    });
    bounded(lacking.cloned().collect(), rng)
}

/// At most as many of `records` as one message holds, chosen at random.
pub(super) fn bounded(mut records: Vec<Member>, rng: &mut impl Rng) -> Vec<Member> {
    if records.len() > MAX_RECORDS {
        records.shuffle(rng);
        records.truncate(MAX_RECORDS);
    }
    records
}

fn is_unknown(view: &View, domain: &DomainId) -> bool {
    view.sums().all(|(known, _)| known != domain)
}

fn in_buckets<'a>(
    view: &'a View,
    domain: &'a DomainId,
    buckets: &'a [u8],
) -> impl Iterator<Item = &'a Member> {
    view.records()
        .filter(move |member| member.domain == *domain && !member.is_provisional())
        .filter(move |member| buckets.contains(&bucket(&member.node)))
}

fn bucket_sums(view: &View, domain: &DomainId) -> Vec<u64> {
    let mut sums = vec![0; usize::from(BUCKETS)];
    for member in view.in_domain(domain).filter(|m| !m.is_provisional()) {
        sums[usize::from(bucket(&member.node))] ^= member.digest();
    }
    sums
}

fn bucket(node: &NodeId) -> u8 {
    let rest = rapidhash_v3(node.as_str().as_bytes()) % u64::from(BUCKETS);
    u8::try_from(rest).unwrap_or(0)
}
